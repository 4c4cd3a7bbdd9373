"""Definition of the sections of a daemon's blackboard and their writers."""

TABLE = "table"
LOG = "log"

# One row per section: its name, its kind and the name of its only writer.
SECTIONS = (
    # Request path.
    ("queries", LOG, "caller_transport"),
    ("answers", LOG, "routing"),
    ("subrequests", LOG, "routing"),
    ("peer_subrequests", LOG, "peer_transport"),
    ("attempts", LOG, "ownership"),
    ("attempt_results", LOG, "target_transport"),
    ("subreplies", LOG, "ownership"),
    ("peer_subreplies", LOG, "peer_transport"),
    ("sightings", LOG, "routing"),
    ("owned_sightings", LOG, "ownership"),
    ("suspicions", LOG, "ownership"),
    ("routes", TABLE, "routing"),
    ("tickets", TABLE, "routing"),
    ("owned", TABLE, "ownership"),
    # Control: membership, configuration, targets, placement and lifecycle.
    ("peer_control", LOG, "peer_transport"),
    ("peer_links", TABLE, "peer_transport"),
    ("members", TABLE, "membership"),
    ("lease", TABLE, "membership"),
    ("membership_out", LOG, "membership"),
    ("platform_results", LOG, "platform_transport"),
    ("platform_reads", LOG, "configuration"),
    ("declaration", TABLE, "configuration"),
    ("checks", LOG, "configuration"),
    ("check_results", LOG, "checker"),
    ("configuration_out", LOG, "configuration"),
    ("listing_reads", LOG, "listing"),
    ("listing", TABLE, "listing"),
    ("listing_out", LOG, "listing"),
    ("targets", TABLE, "targets"),
    ("targets_out", LOG, "targets"),
    ("placement", TABLE, "placement"),
    ("quarantine", TABLE, "quarantine"),
    ("quarantine_out", LOG, "quarantine"),
    ("lifecycle", TABLE, "lifecycle"),
    ("signals", LOG, "process"),
    ("instruments", TABLE, "process"),
)
