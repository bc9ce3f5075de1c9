"""Reports of the records that cannot be decoded."""

# Limit on the records of which each change is logged; the others are only counted.
MAX_LOGGED = 10


class UnreadableRecords:
    """Logs unreadable records of tables, each once per change.

    :param decoder: :class:`cicadaplank.gateway.process.RecordDecoder`.
    :param log: callable ``log(event, **fields)``.
    """

    def __init__(self, decoder, log):
        self._decoder = decoder
        self._log = log
        self._counts = {}
        self._logged = {}

    def report(self, table_sync):
        """Log the records of a table that have become unreadable.

        :param table_sync: :class:`cicadaplank.gateway.sync.TableSync`.
        """
        table = table_sync.table
        reasons = self._decoder.unreadable(table)
        self._counts[table] = len(reasons)
        logged = self._logged.get(table, {})
        present = {}
        for key in sorted(reasons):
            record = table_sync.copy.get(key)
            if record is None:
                continue
            if len(present) == MAX_LOGGED:
                break
            present[key] = record.version
            if logged.get(key) != record.version:
                self._log(
                    "unreadable_record",
                    table=table,
                    key=ascii(key)[1:-1],
                    version=record.version,
                    reason=reasons[key],
                    count=len(reasons),
                )
        self._logged[table] = present

    def update_metrics(self, metrics):
        """Set the gauges of the unreadable records.

        :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
        """
        for table, count in self._counts.items():
            metrics.set_gauge("unreadable_records", count, table=table)
