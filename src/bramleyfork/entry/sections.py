"""The sections of an entry host's blackboard and their writers."""

from bramleyfork.core import sections

# One row per section: name, kind, writer (name of a component).
SECTIONS = (
    # Requests of callers and their attempts at targets.
    ("requests", sections.LOG, "callers"),
    ("departures", sections.LOG, "callers"),
    ("sends", sections.LOG, "exchanges"),
    ("aborts", sections.LOG, "exchanges"),
    ("replies", sections.LOG, "target_connections"),
    ("responses", sections.LOG, "exchanges"),
    ("target_faults", sections.LOG, "exchanges"),
    # What hosts have learnt from the answers of targets.
    ("request_findings", sections.LOG, "exchanges"),
    ("target_findings", sections.LOG, "target_connections"),
    ("probe_findings", sections.LOG, "health_checks"),
    ("request_observations", sections.TABLE, "observations"),
    ("target_observations", sections.TABLE, "observations"),
    ("observation_sends", sections.LOG, "observations"),
    ("peer_observations", sections.LOG, "peers"),
    # Attempts that another host, a carrier, makes for this one.
    ("via_sends", sections.LOG, "exchanges"),
    ("via_replies", sections.LOG, "carriers_transport"),
    ("via_failures", sections.LOG, "carriers_transport"),
    # Attempts that this host makes as a carrier for another one.
    ("carried_arrivals", sections.LOG, "carriers_transport"),
    ("carried_sends", sections.LOG, "carriers"),
    ("carried_aborts", sections.LOG, "carriers"),
    ("carried_departures", sections.LOG, "carriers"),
    # The feed: routes, listed targets and evacuations.
    ("feed_reads", sections.LOG, "feed"),
    ("feed_results", sections.LOG, "feed_source"),
    ("route_table", sections.TABLE, "feed"),
    ("listed_targets", sections.TABLE, "feed"),
    ("evacuations", sections.TABLE, "feed"),
    ("feed_state", sections.TABLE, "feed"),
    ("feed_entries", sections.TABLE, "feed"),
    ("peer_feed_results", sections.LOG, "feed_peers"),
    # Usable targets and health checks.
    ("usable", sections.TABLE, "targets"),
    ("probes", sections.LOG, "targets"),
    ("probe_results", sections.LOG, "health_checks"),
    # Membership of the entry hosts, and the lifecycle of this one.
    ("members", sections.TABLE, "membership"),
    ("peer_sends", sections.LOG, "membership"),
    ("peer_messages", sections.LOG, "peers"),
    ("lifecycle", sections.TABLE, "lifecycle"),
    ("signals", sections.LOG, "process"),
    ("open_work", sections.TABLE, "callers"),
)
