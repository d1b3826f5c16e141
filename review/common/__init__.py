"""Deployment on loopback addresses that the cases of the review share."""
