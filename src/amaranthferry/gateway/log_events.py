"""Define the events that an entry host for routed requests logs.

Each line also carries the host, the level and the time. Fields that name a request
are `request_id` (the caller's attempt id where it is unique) or `attempt`.
"""

from enum import StrEnum


class LogEvent(StrEnum):
    """Name the events of log lines; the comment after each one lists its fields."""

    # Life cycle of the process.
    HOST_STARTING = "host.starting"  # zone
    HOST_READY = "host.ready"  # hosts, version, compared, after
    HOST_DRAINING = "host.draining"  # requests
    HOST_CUT_OFF = "host.cut_off"  # requests
    HOST_STOPPED = "host.stopped"
    SIGNAL_STOP = "signal.stop"  # repeated
    SIGNAL_RELOAD = "signal.reload"  # taken
    HOST_LAGGING = "host.lagging"  # late, ticks; at most one a second
    # process, limit, open_requests, connection_bytes, answer_bytes, body_bytes,
    # kept_changes, kept_change_bytes; once until the memory has fallen
    MEMORY_HIGH = "memory.high"
    # port, cause, size, stage, skipped; at most one a second for each port and cause
    CONNECTION_ENDED = "connection.ended"
    TASK_RESTARTED = "task.restarted"  # task, exception
    TASK_FAILED = "task.failed"  # exception; written by the shell of all hosts
    LOGS_DROPPED = "logs.dropped"  # lines

    # State known to the host.
    CONFIG_APPLIED = "config.applied"  # version, routes, revision, left_out
    # version, part, name, prefix, problem; the first 8 of a version
    CONFIG_PART_UNREADABLE = "config.part_unreadable"
    CONFIG_UNREADABLE = "config.unreadable"  # problem, remedy
    SERVER_SEEN = "server.seen"  # server, service, state, born
    SERVER_GONE = "server.gone"  # server
    SERVER_ENTRY_UNREADABLE = "server_entry.unreadable"  # name, revision
    OBJECT_UNREADABLE = "object.unreadable"  # kind, name, revision, problem
    HISTORY_GONE = "watch.history_gone"  # kind, revision
    STORE_ERA_SEEN = "store.era_seen"  # era, old_era
    STORE_ERA_REFUSED = "store.era_refused"  # kind, problem
    VERSION_SUPERSEDED = "version.superseded"  # kind, version, required
    STORE_RESTORED = "store.restored"  # kind, era, revision, lost_era, lost_revision
    SERVER_WITHHELD = "server.withheld"  # server, known, listed
    SERVER_RELEASED = "server.released"  # server, reason
    # What servers say in their answers: server, born, address, source, age, duration,
    # rate, before.
    SERVER_LEAVING = "server.leaving"
    SERVER_LEAVING_FORGOTTEN = "server.leaving_forgotten"
    SERVER_HELD_OFF = "server.held_off"
    SERVER_HOLD_OFF_ENDED = "server.hold_off_ended"
    SERVER_LIMITED = "server.limited"
    SERVER_LIMIT_ENDED = "server.limit_ended"
    SERVER_LIMIT_UNREADABLE = "server.limit_unreadable"  # server, value, skipped
    # What is believed of prompt parts and whole requests: part (or digest), kind, pool,
    # model, version, before, ends, requests, lasted, source.
    PART_SUSPECTED = "part.suspected"
    PART_HELD = "part.held"
    PART_CLEARED = "part.cleared"
    PART_LIFTED = "part.lifted"  # part, holds; by an operator at this host
    PART_LIFT_REFUSED = "part.lift_refused"  # path; without the peer key
    PART_TRIED = "part.tried"  # part, request_id, server, held_for, ends, trials
    STORE_LOST = "store.lost"  # kind, problem
    STORE_REGAINED = "store.regained"  # kind
    FRESHNESS_CHANGED = "freshness.changed"  # current, age
    READERS_CHANGED = "readers.changed"  # kind, readers
    READER_SILENT = "reader.silent"  # kind, reader
    UPDATE_NOT_SENDABLE = "update.not_sendable"  # kind, problem
    UPDATE_UNREADABLE = "update.unreadable"  # kind, problem
    READER_STOOD_IN = "reader.stood_in"  # kind, readers, age: of the state before
    PEERS_CHANGED = "peers.changed"  # hosts, draining
    PEER_LOST = "peer.lost"  # peer
    COORDINATORS_CHANGED = "coordinators.changed"  # coordinators, fallbacks
    # Who decides on permits: shard, coordinator, decider, cause, silent, lasted, waiting.
    FALLBACK_STARTED = "fallback.started"
    FALLBACK_ENDED = "fallback.ended"
    # shard, role, queue, oldest, permits, idle_slots, servers by availability;
    # twice a second while requests wait.
    SHARD_WAITING = "shard.waiting"
    # shard, server, duration, asker, request_id, skipped
    SERVER_BACKED_OFF = "server.backed_off"
    PEER_KEY_NOT_READ = "peer_key.not_read"  # problem
    PEER_KEY_CHANGED = "peer_key.changed"
    HOST_ENTRY_WRITTEN = "host_entry.written"  # era, hosts
    HOSTS_NOT_READ = "hosts.not_read"  # problem
    HOST_ENTRY_UNREADABLE = "host_entry.unreadable"  # name

    # Rollouts: service, version, state or stage, with the reason.
    ROLLOUT_SEEN = "rollout.seen"  # state, duration, revision
    ROLLOUT_UNREADABLE = "rollout.unreadable"  # name, revision
    # stage, before, step, pace, reason, requests, exposed: what this host does
    ROLLOUT_STEP = "rollout.step"
    # stage, before, reason, age, hosts, requests, exposed: by the host that decides
    ROLLOUT_DECIDED = "rollout.decided"
    ROLLOUT_UNDECIDED = "rollout.undecided"  # stage, silent
    ROLLOUT_WRITTEN = "rollout.written"  # state, revision
    ROLLOUT_NOT_WRITTEN = "rollout.not_written"  # state, problem
    ROLLOUT_ENDED = "rollout.ended"  # state, requests, exposed

    # Decisions about requests.
    REQUEST_HELD = "request.held"  # request_id, kind, part, held_for, ends, trials
    # port, status, problem, skipped; at most one a second for each port and status
    REQUEST_MALFORMED = "request.malformed"
    # attempt, code, status, version, belief_age, revision, source, store_lost: the
    # configuration it was judged by, and the host that confirmed it ("" for the store)
    REQUEST_REFUSED = "request.refused"
    # request_id, route, workspace, server, run, waited, decided_by, version, state_age:
    # the configuration that admitted it, and the age of the read behind that
    REQUEST_DISPATCHED = "request.dispatched"
    # request_id, route, server, runs, ages, framing, closed_by_peer, partial_event,
    # server_limit
    REQUEST_ANSWERED = "request.answered"
    # request_id, route, service, first, second, reason, age, remaining, fresh, lasted,
    # winner, end: a second run, at its end; the forecasts are those that it was sent by
    REQUEST_HEDGED = "request.hedged"
    # request_id, route, workspace, outcome, reason, retry_after, runs, caller_gone, age
    REQUEST_SETTLED = "request.settled"
    DISPATCH_UNREACHED = "dispatch.unreached"  # request_id, server, problem
    # request_id, server, service, status, retry_after, hold_off, decided_by
    DISPATCH_NOT_RUN = "dispatch.not_run"
    DISPATCH_FAILED = "dispatch.failed"  # request_id, server, status
    # request_id, server, problem, process, framing, closed_by_peer, partial_event,
    # server_limit, route, service, workspace, digest, ran_for, answering_for, parts
    DISPATCH_BROKEN = "dispatch.broken"
    # request_id, server, size, held, limit: bytes of the answers that are read as a whole
    ANSWER_DROPPED = "answer.dropped"
    # request_id, asker, source, server, stays, moves, copy_time, left, written
    MOVE_PROPOSED = "move.proposed"
    # request_id, source, server, outcome, reply, copied_for, paused_for
    MOVE_ENDED = "move.ended"
    MOVE_DECLINED = "move.declined"  # request_id, server, reason
    COPY_NOT_FREED = "copy.not_freed"  # request_id, source, problem
    PERMIT_GRANTED = "permit.granted"  # request_id, asker, server, waited, queue
    # request_id, shard, coordinator, server, reason, age
    PERMIT_RETURNED = "permit.returned"
    # request_id, shard, server, asker, age, first_token_seen, skipped
    PERMIT_UNLISTED = "permit.unlisted"
    # request_id, shard, expected, least, left, age, late
    PERMIT_FORECAST = "permit.forecast"
    PERMIT_REFUSED = "permit.refused"  # request_id, asker, reason, queue, slots, known
