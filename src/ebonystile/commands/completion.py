"""Print the shell completion code: `ebonystile completion`."""

import click
from click import shell_completion

PROGRAM = "ebonystile"
VARIABLE = "_EBONYSTILE_COMPLETE"
SHELLS = ("bash", "fish", "zsh")


@click.command()
@click.argument("shell", type=click.Choice(SHELLS))
@click.pass_context
def completion(context, shell):
    """Print the completion code for SHELL (bash 4.4 or newer, fish, zsh).

    For bash: eval "$(ebonystile completion bash)"
    """
    completer_class = shell_completion.get_completion_class(shell)
    completer = completer_class(context.find_root().command, {}, PROGRAM, VARIABLE)
    # The override in click's bash class runs bash to check its version; call the base method.
    click.echo(shell_completion.ShellComplete.source(completer))
