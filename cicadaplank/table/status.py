"""Summary of the configuration versions in force in each data centre."""

import dataclasses

# Twice the longest interval between polls while the table service is unavailable.
MAX_POLL_AGE_S = 10.0


@dataclasses.dataclass(frozen=True)
class LaggingInstance:
    """Instance that does not have the newest configuration in force.

    :param instance: instance name.
    :param version: version in force there.
    :param behind_s: seconds since the instance learned of a newer version, or since the
        newest version came into force at another instance if that is longer ago.
    """

    instance: str
    version: int
    behind_s: float


@dataclasses.dataclass(frozen=True)
class DataCentreStatus:
    """State of one data centre.

    :param data_centre: name of the data centre.
    :param version: lowest version in force at an instance that answered, or None.
    :param lagging: tuple of :class:`LaggingInstance`, sorted by instance name.
    :param not_ready: names of the instances that answered and are not ready for work.
    :param unreachable: names of the listed instances that did not answer.
    :param partitioned: True when no listed instance answered.
    :param poll_age_s: seconds since the last successful poll of the table service
        there, or None when no instance answered.
    """

    data_centre: str
    version: int | None
    lagging: tuple
    not_ready: tuple
    unreachable: tuple
    partitioned: bool
    poll_age_s: float | None

    @property
    def reaches_table_service(self):
        """Whether a poll of the table service succeeded recently in the data centre."""
        return self.poll_age_s is not None and self.poll_age_s <= MAX_POLL_AGE_S


def summarise(instances, reports):
    """Summarise the status replies of a deployment by data centre.

    :param instances: iterable of the listed
        :class:`cicadaplank.world.machines.Instance`.
    :param reports: dict from instance name to
        :class:`cicadaplank.messages.types.StatusReply`; instances that did not
        answer in time are missing.
    :returns: list of :class:`DataCentreStatus`, sorted by data centre.
    """
    known_versions = (max(r.version, r.known_version) for r in reports.values())
    newest = max(known_versions, default=0)
    newest_ages_s = [r.in_force_s for r in reports.values() if r.version == newest]
    newest_in_force_s = max(newest_ages_s, default=0.0)
    groups = {}
    for instance in instances:
        groups.setdefault(instance.data_centre, []).append(instance.name)
    return [
        _summarise_data_centre(name, sorted(names), reports, newest, newest_in_force_s)
        for name, names in sorted(groups.items())
    ]


def _summarise_data_centre(data_centre, names, reports, newest, newest_in_force_s):
    answered = [name for name in names if name in reports]
    replies = [reports[name] for name in answered]
    lagging = [
        LaggingInstance(
            name, reports[name].version, max(newest_in_force_s, reports[name].behind_s)
        )
        for name in answered
        if reports[name].version < newest
    ]
    return DataCentreStatus(
        data_centre,
        min((report.version for report in replies), default=None),
        tuple(lagging),
        tuple(name for name in answered if reports[name].state != "ready"),
        tuple(name for name in names if name not in reports),
        not answered,
        min((report.poll_age_s for report in replies), default=None),
    )
