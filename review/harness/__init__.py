"""Small deployments of host processes and stand-ins, for the review's cases."""
