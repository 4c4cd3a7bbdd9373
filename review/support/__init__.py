"""Stand-ins and helpers of the cases in review/6 to review/10."""
