"""Admission control, queues, rate limits, endpoint selection and placement."""
