"""Instances of a deployment."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Instance:
    """An instance, which runs one process of the system.

    :param name: unique name.
    :param role: ``entry`` or ``agent``.
    :param host: IP address of its peer port.
    :param port: TCP port for streams between the system's processes.
    :param region: region name.
    :param data_centre: data centre name.
    :param half: half of the company to which it belongs at start, or empty.
    """

    name: str
    role: str
    host: str
    port: int
    region: str
    data_centre: str
    half: str = ""
