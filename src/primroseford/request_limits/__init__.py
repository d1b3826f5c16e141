"""Limits on the requests that a runner accepts from all hosts together.

A runner names its limit in its responses. One host, the runner's token owner, keeps a
token bucket at that rate; the others ask it for a token before each request. So the
sum of all hosts stays within the limit however many hosts there are, and no part of it
is reserved for hosts that do not need it.
"""
