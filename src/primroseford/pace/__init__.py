"""Limits on the requests in flight at runners that have started or recovered.

The owner of a runner raises its limit while responses arrive in the usual time, and
lowers it while they are slow or fail. All hosts apply the limit that it reports.
"""
