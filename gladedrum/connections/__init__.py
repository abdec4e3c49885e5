"""HTTP/1.1 connections to callers and targets, and the pool of connections to targets.

Connections parse bytes into typed messages for the task that handles a request; they make no
decisions about requests. This package may import `platform` for names on the wire, but not
`beliefs`, `placing` or `forward`.
"""
