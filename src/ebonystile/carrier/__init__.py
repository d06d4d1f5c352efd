"""The daemons that carry callers' packets: thin shells around the cores in `core.carrying`.

They run on instances with a sixth of a core, where every import delays the first packet, so they
import no library that they can do without.
"""
