"""Keeps the endpoint list current: a watch on discovery that is made again whenever it ends or falls silent.

When a call is made and how long it may take is for the call policy to say (call_policy.py), where it goes for
the addresses (addresses.py); one call is list_call.py's job.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable

from quartzford.engine import Clock, Handle, Log
from quartzford.membership.addresses import Address, Addresses, RequestKind
from quartzford.membership.call_policy import CallOutcome, CallPolicy
from quartzford.membership.list_call import ListCall
from quartzford.membership.listing import Listing, Sink, as_complete_list, read_listing


class ListWatch:
    """Keeps one watch open, and knows which version of the list this balancer has.

    resync: the version is forgotten with each watch that ends: the next call requests the complete list.
    """

    def __init__(
        self,
        sink: Sink,
        addresses: Addresses,
        policy: CallPolicy,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
        *,
        resync: bool = False,
    ) -> None:
        self.sink = sink
        self.addresses = addresses
        self.policy = policy
        self.clock = clock
        self.log = log
        self.loop = loop
        self.resync = resync
        self.version: int | None = None
        self.ever_answered = False  # discovery has answered since the start
        self.call: ListCall | None = None
        self.late_call: ListCall | None = None  # accepted, and may still be answered beside the next one
        self.candidate: ListCall | None = None  # at a better address, while the watch stands
        self.timer: Handle | None = None  # of the next call
        self.candidate_timer: Handle | None = None
        self.last_line_at = -math.inf  # a list, changes or an empty line, in seconds of the clock
        self.stopped = False
        self.counts: Counter[str] = Counter()  # calls made, and how each ended

    @property
    def address(self) -> Callable[[], Address]:
        """The address of the configuration."""
        return self.addresses.address

    @address.setter
    def address(self, address: Callable[[], Address]) -> None:
        """Where the address comes from: it is read anew for each call."""
        self.addresses.address = address

    # ---- start and end

    def start(self) -> None:
        """The list is wanted from now on."""
        if not self.stopped and self.call is None and self.timer is None:
            self._schedule_call(self.policy.initial_delay())

    def stop(self) -> None:
        """End all calls and make none from now on."""
        self.stopped = True
        for timer in (self.timer, self.candidate_timer):
            if timer is not None:
                timer.cancel()
        for call in self._calls():
            call.close()

    def is_current(self) -> bool:
        """The list that is held is the service's current one: a watch stands."""
        return self.call is not None and self.call.answered

    def follow_address(self) -> None:
        """The address has changed: the complete list is requested there, as its versions may be its own."""
        if not self.addresses.follows_configuration():
            return
        self._cancel_timer()
        self.version = None
        calls = self._calls()
        self.call = self.late_call = self.candidate = None
        for call in calls:
            call.close()
        self.start()

    def _calls(self) -> list[ListCall]:
        return [call for call in (self.call, self.late_call, self.candidate) if call is not None]

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # ---- making calls

    def _schedule_call(self, delay: float) -> None:
        if delay <= 0.0:
            self._make_call()
        else:
            self.timer = self.clock.call_later(delay, self._make_call)

    def _make_call(self) -> None:
        self.timer = None
        if self.stopped or self.call is not None:
            return
        complete_list_by_watch = self.addresses.complete_list_by_watch
        # A version of 0 is that of a configuration without upstreams.
        known = bool(self.version) if complete_list_by_watch else self.version is not None
        target = self.addresses.choose(known)
        self.counts["asked" if target.kind is RequestKind.COMPLETE_LIST else "watched"] += 1
        self.call = ListCall(self, target, complete_list_by_watch=complete_list_by_watch)

    def _try_better_address(self) -> None:
        """Make before break: the watch stands on until the new one has answered."""
        self.candidate_timer = None
        if self.stopped or self.candidate is not None or not self.is_current():
            return
        target = self.addresses.better()
        if target is None:
            return
        self.counts["tried better"] += 1
        by_watch = self.addresses.complete_list_by_watch
        self.candidate = ListCall(self, target, complete_list_by_watch=by_watch)

    def _schedule_candidate(self) -> None:
        if self.candidate_timer is not None:
            self.candidate_timer.cancel()
            self.candidate_timer = None
        delay = self.policy.better_address_delay()
        if delay < math.inf and not self.stopped:
            self.candidate_timer = self.clock.call_later(delay, self._try_better_address)

    # ---- what calls bring (see CallOwner)

    def read_line(self, text: bytes, call: ListCall) -> bool:
        """Parse and take one line of a call; False where it is of no use and the call has to end."""
        try:
            listing = read_listing(text)
        except ValueError as error:
            return self.reject_line(error, call)
        return self.take(listing, call)

    def reject_line(self, error: Exception, call: ListCall) -> bool:
        """Log a line that can't be parsed; the next call requests the complete list. Always False."""
        self.log.line("discovery", f"a bad line: {error}")
        self.forget_version(call)
        return False

    def forget_version(self, call: ListCall) -> None:
        """The next call requests the complete list; what a candidate brings is no reason to."""
        if call is not self.candidate:
            self.version = None

    def take(self, listing: Listing, call: ListCall) -> bool:
        """Take a line that could be parsed; False where the call has to end."""
        if self._outdated(listing, call):
            return not call.watch
        if call.expects_complete_list and not call.answered:
            listing = as_complete_list(listing)
        if listing.complete:
            if self.candidate is not None and call is not self.candidate:
                self.candidate.close()  # it may be about to bring changes to a list of another incarnation
        elif self.version is None or listing.version < self.version:
            self.version = None
            return False
        self.version = listing.version
        self.ever_answered = True
        self.sink.listed(listing)
        return True

    def _outdated(self, listing: Listing, call: ListCall) -> bool:
        """Older than what is held, and no sign that the service has been started anew.

        A candidate that is behind the established watch brings nothing new; and a complete list that was
        requested while a version is held is one of a relay that has lost the service.
        """
        older = self.version is not None and listing.version < self.version
        return older and (call is self.candidate or not call.watch)

    def call_answered(self, call: ListCall) -> None:
        """The list has come by this call; any other is of no use now."""
        self.addresses.answered(call.target)
        self.policy.record_answer()
        others = [other for other in self._calls() if other is not call]
        self.call = call
        self.late_call = self.candidate = None
        self._cancel_timer()
        for other in others:
            other.close()
        self._schedule_candidate()

    def call_late(self, call: ListCall) -> bool:
        """A call has had its time without an answer; whether it is kept beside the next one."""
        keeps = self.policy.keeps_late_calls and not self.stopped
        if call is not self.call or self.late_call is not None or not keeps:
            return False
        self.call = None
        self.late_call = call
        self.counts["kept"] += 1
        self.addresses.failed(call.target, CallOutcome.TIMED_OUT)
        delay = self.policy.delay_after(CallOutcome.TIMED_OUT, self.clock.now() - call.since)
        self.timer = self.clock.call_later(delay, self._make_call)
        return True

    def call_ended(self, call: ListCall, in_order: bool) -> None:
        """A call is over: schedule the next one."""
        if call is self.late_call:
            self.late_call = None
        if call is self.candidate:
            self.candidate = None
            self._schedule_candidate()
        if call is not self.call:
            return
        self.call = None
        self.counts["ended in order" if in_order else f"ended {call.why}"] += 1
        if self.stopped:
            return
        outcome = self._outcome(call, in_order)
        if outcome is not CallOutcome.COMPLETED:
            self.addresses.failed(call.target, outcome)
            if self.resync:
                self.version = None
        delay = self.policy.delay_after(outcome, self.clock.now() - call.since, call.retry_after)
        self.timer = self.clock.call_later(delay, self._make_call)

    @staticmethod
    def _outcome(call: ListCall, in_order: bool) -> CallOutcome:
        if not in_order:
            return call.outcome
        return CallOutcome.UNUSABLE if call.watch else CallOutcome.COMPLETED
