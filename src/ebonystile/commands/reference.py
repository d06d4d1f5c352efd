"""Print the reference of all settings: `ebonystile settings`."""

import click
import msgspec

from ebonystile.operator import reference
from ebonystile.platform import node


@click.command("settings")
def show():
    """Print every setting of each program with its form, its default and its meaning."""
    carriers = [carrier_setting(field) for field in msgspec.structs.fields(node.Node)]
    click.echo(reference.page(carriers), nl=False)


def carrier_setting(field: msgspec.structs.FieldInfo) -> reference.Setting:
    """Return the reference entry of a setting of the carrying daemons."""
    if field.name in node.SIDECAR_FIELDS:
        need = "required for sidecars"
    else:
        need = "required" if field.required else "may be left out"
    return reference.Setting(field.name, node.FORMATS[field.name], need, node.MEANINGS[field.name])
