"""The operators' client, `ebonystile`: read-only commands for a running system."""

import click

import ebonystile
from ebonystile.commands import (
    call,
    causes,
    check,
    completion,
    explain,
    logs,
    preview,
    reference,
    shell,
    status,
    timeline,
    trace,
)


@click.group(context_settings=shell.CONTEXT)
@click.version_option(ebonystile.__version__, prog_name="ebonystile")
def main():
    """Inspect an ebonystile system.

    No command changes a running system: publish labels and selectors for that. Commands that query
    processes need settings with the system's keys, by --settings or EBONYSTILE_SETTINGS.

    Exit status: 0 done, 1 failed, 2 settings, documents or the command line are wrong.
    """


main.add_command(check.check)
main.add_command(status.show)
main.add_command(preview.show)
main.add_command(explain.show)
main.add_command(causes.show)
main.add_command(logs.show)
main.add_command(timeline.show)
main.add_command(trace.show)
main.add_command(reference.show)
main.add_command(call.show)
main.add_command(completion.completion)


if __name__ == "__main__":
    main()
