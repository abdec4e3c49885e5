"""HTTP/1.1 on the connections of callers and targets, and the pool of open ones.

In come bytes, out go typed messages to the task of a request. Decides nothing about requests; may
import `platform` for the names on the wire, and nothing of beliefs, placing or requests.
"""
