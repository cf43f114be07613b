package gypsumcart.core.admission

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.LoanId
import gypsumcart.core.MonotonicTime
import gypsumcart.core.NodeId
import gypsumcart.core.Outcome
import gypsumcart.core.RefusalReason
import gypsumcart.core.TeamName
import gypsumcart.core.Ticket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Holds the requests beyond this node's part of a quota while the lender is asked for it.
 *
 * Requests are served in the order of their arrival; one loan may serve several. What waits is bounded in number and
 * time.
 */
internal class LoanQueue(private val quotas: Quotas) {
    private class Waiting(
        val admitted: AdmittedRequest,
        val cost: Double,
        val since: MonotonicTime,
        val until: MonotonicTime,
    ) {
        /** The time at which another lender is asked too, or null if that has been done. */
        var askOtherAt: MonotonicTime? = since + (until - since) / 2

        /** The next time at which something is due for this request. */
        val dueAt: MonotonicTime get() = askOtherAt ?: until
    }

    private class OpenLoan(val id: LoanId, val lender: NodeId, val askedAt: MonotonicTime)

    private class TeamQueue(val team: TeamName) {
        val waiting = ArrayDeque<Waiting>()

        /** The loans that are asked for and not answered, the oldest first. */
        val loans = ArrayDeque<OpenLoan>()

        /** The times until which lenders are not asked, because they have nothing left or do not answer. */
        private val pausedUntil = HashMap<NodeId, MonotonicTime>()

        fun pause(lender: NodeId, until: MonotonicTime) {
            pausedUntil[lender] = until
        }

        fun resume(lender: NodeId) {
            pausedUntil -= lender
        }

        fun isPaused(lender: NodeId, now: MonotonicTime): Boolean = pausedUntil[lender]?.let { now < it } ?: false

        /** Returns whether an answer is awaited that may still come in time for a request. */
        fun isAwaited(now: MonotonicTime): Boolean = loans.any { now - it.askedAt < MAX_WAIT }
    }

    private val queues = HashMap<TeamName, TeamQueue>()
    private var lastLoan = 0L
    private var waitingCount = 0

    /** The time for which a check was requested, or null if there is none to come. */
    private var checkAt: MonotonicTime? = null

    /** Admits the request, refuses it or lets it wait for a loan. */
    fun submit(admitted: AdmittedRequest, team: TeamName, cost: Double, now: MonotonicTime): List<AdmissionEffect> {
        quotas.recordDemand(team, cost, now)
        val queue = queues.getOrPut(team) { TeamQueue(team) }
        if (queue.waiting.isEmpty() && quotas.charge(team, cost, admitted.ticket, now)) {
            return listOf(AdmissionEffect.Route(admitted))
        }
        if (lenderOrNull(queue, now) == null || waitingCount >= MAX_WAITING) {
            return listOf(refuse(admitted, cost, now))
        }
        val until = minOf(now + minOf(admitted.route.targetLatency / WAIT_DIVISOR, MAX_WAIT), admitted.deadline)
        val waiting = Waiting(admitted, cost, now, until)
        queue.waiting += waiting
        waitingCount++
        return ask(queue, cost, cost + extra(queue, cost, now), now) + requestCheck(waiting.dueAt)
    }

    /** Processes the [answer] to this node's request for the loan with [id]. */
    fun end(id: LoanId, team: TeamName, answer: LoanAnswer, now: MonotonicTime): List<AdmissionEffect> {
        val queue = queues[team] ?: return emptyList()
        val loan = queue.loans.firstOrNull { it.id == id } ?: return emptyList()
        queue.loans -= loan
        when (answer) {
            is LoanAnswer.Granted -> {
                queue.resume(loan.lender)
                quotas.borrow(team, answer.amount, loan.askedAt + LOAN_LIFE)
            }

            is LoanAnswer.Refused -> {
                queue.pause(loan.lender, now + minOf(answer.retryAfter / MEMORY_DIVISOR, REFUSAL_MEMORY))
                quotas.recordRefusal(team, answer.retryAfter, now)
            }

            LoanAnswer.NoAnswer -> queue.pause(loan.lender, now + SILENCE_MEMORY)
        }
        val told = (answer as? LoanAnswer.Refused)?.retryAfter
        return serve(queue, now) + askAgain(queue, told, now)
    }

    /** Asks another lender for the requests that have waited for long, and refuses those that have waited too long. */
    fun check(now: MonotonicTime): List<AdmissionEffect> {
        checkAt = null
        if (waitingCount == 0) return emptyList()
        val effects = queues.values.flatMap { queue -> refuseExpired(queue, now) + askOther(queue, now) }
        val next = queues.values.flatMap { it.waiting }.minOfOrNull { it.dueAt }
        return if (next == null) effects else effects + requestCheck(next)
    }

    /** Drops the request with [ticket], whose client has left. */
    fun cancel(ticket: Ticket) {
        if (waitingCount == 0) return
        for (queue in queues.values) {
            if (queue.waiting.removeAll { waiting -> waiting.admitted.ticket == ticket }) waitingCount--
        }
    }

    private fun serve(queue: TeamQueue, now: MonotonicTime): List<AdmissionEffect> =
        buildList {
            while (queue.waiting.isNotEmpty()) {
                val first = queue.waiting.first()
                if (!quotas.charge(queue.team, first.cost, first.admitted.ticket, now)) break
                takeFirst(queue)
                add(AdmissionEffect.Route(first.admitted))
            }
        }

    /**
     * Asks for what the requests that still wait lack, if no answer is awaited, or refuses them if nobody has it.
     *
     * @param told when the first of them is to return, if a lender said so
     */
    private fun askAgain(queue: TeamQueue, told: Duration?, now: MonotonicTime): List<AdmissionEffect> {
        val first = queue.waiting.firstOrNull() ?: return emptyList()
        if (queue.isAwaited(now)) return emptyList()
        val wanted = queue.waiting.sumOf { it.cost } + extra(queue, first.cost, now)
        return ask(queue, first.cost, wanted, now).ifEmpty {
            val refused = if (told == null) emptyList() else listOf(refuse(takeFirst(queue).admitted, told))
            refused + refuseIf(queue, now) { true }
        }
    }

    private fun ask(queue: TeamQueue, needed: Double, wanted: Double, now: MonotonicTime): List<AdmissionEffect> =
        lenderOrNull(queue, now)?.let { ask(queue, it, needed, wanted, now) }.orEmpty()

    /** Asks for the whole cost of a request, because what this node has itself may be less when the answer comes. */
    private fun ask(
        queue: TeamQueue,
        lender: Lender,
        needed: Double,
        wanted: Double,
        now: MonotonicTime,
    ): List<AdmissionEffect> {
        queue.loans.removeAll { now - it.askedAt >= LOAN_LIFE }
        if (queue.loans.size >= MAX_LOANS) return emptyList()
        val loan = OpenLoan(LoanId(++lastLoan), lender.node, now)
        queue.loans += loan
        return listOf(AdmissionEffect.AskLoan(loan.id, lender, queue.team, needed, wanted))
    }

    /** Returns the lender that probably has most, or null if none has anything. */
    private fun lenderOrNull(queue: TeamQueue, now: MonotonicTime): Lender? =
        quotas.lendersFor(queue.team).firstOrNull { !queue.isPaused(it.node, now) }

    /** Returns what the requests of the next moment will cost, if there will surely be some. */
    private fun extra(queue: TeamQueue, cost: Double, now: MonotonicTime): Double {
        val expected = quotas.demandPerSecond(queue.team, now) * EXTRA_TIME.toDouble(DurationUnit.SECONDS)
        return (expected - cost).coerceIn(0.0, cost * MAX_EXTRA_REQUESTS)
    }

    private fun refuseExpired(queue: TeamQueue, now: MonotonicTime): List<AdmissionEffect> {
        val waitedSince = queue.waiting.filter { it.until <= now }.maxOfOrNull { it.since } ?: return emptyList()
        // The answers may still come and serve later requests.
        queue.loans
            .filter { it.askedAt <= waitedSince && now - it.askedAt >= MAX_WAIT }
            .forEach { queue.pause(it.lender, now + SILENCE_MEMORY) }
        return refuseIf(queue, now) { it.until <= now }
    }

    private fun askOther(queue: TeamQueue, now: MonotonicTime): List<AdmissionEffect> {
        val late = queue.waiting.filter { waiting -> waiting.askOtherAt?.let { it <= now } ?: false }
        if (late.isEmpty()) return emptyList()
        late.forEach { it.askOtherAt = null }
        val asked = queue.loans.map { it.lender }
        val other = quotas.lendersFor(queue.team).firstOrNull { it.node !in asked && !queue.isPaused(it.node, now) }
        return if (other == null) emptyList() else ask(queue, other, late.first().cost, late.sumOf { it.cost }, now)
    }

    private fun refuseIf(
        queue: TeamQueue,
        now: MonotonicTime,
        condition: (Waiting) -> Boolean,
    ): List<AdmissionEffect> {
        val refused = queue.waiting.filter(condition)
        queue.waiting.removeAll(refused)
        waitingCount -= refused.size
        return refused.map { refuse(it.admitted, it.cost, now) }
    }

    private fun takeFirst(queue: TeamQueue): Waiting {
        waitingCount--
        return queue.waiting.removeFirst()
    }

    private fun requestCheck(time: MonotonicTime): List<AdmissionEffect> {
        if (checkAt?.let { it <= time } ?: false) return emptyList()
        checkAt = time
        return listOf(AdmissionEffect.CheckLoansAt(time))
    }

    private fun refuse(admitted: AdmittedRequest, cost: Double, now: MonotonicTime): AdmissionEffect =
        refuse(admitted, admitted.team?.let { quotas.retryAfter(it, cost, now) })

    private fun refuse(admitted: AdmittedRequest, retryAfter: Duration?): AdmissionEffect {
        val outcome = Outcome.NotRun(RefusalReason.QuotaExceeded, retryAfter)
        return AdmissionEffect.Refuse(admitted.submission, admitted.team, outcome)
    }

    private companion object {
        /** A request waits for a loan for at most this part of its target latency. */
        const val WAIT_DIVISOR = 8

        /** Several round trips between zones. */
        val MAX_WAIT: Duration = 150.milliseconds

        /** How long a lender that has nothing left is not asked again, so that refusals cost few messages. */
        val REFUSAL_MEMORY: Duration = 250.milliseconds

        /** The lender has something again long before the last of those that were told to return does. */
        const val MEMORY_DIVISOR = 4

        /** How long a lender that does not answer is not asked again; by then all nodes know whether it is lost. */
        val SILENCE_MEMORY: Duration = 2.seconds

        /** The time for whose demand a loan is asked for beyond what waits; it must be over before the loan expires. */
        val EXTRA_TIME: Duration = 200.milliseconds

        /** Bounds what a node with much demand takes from the others at once, in requests like the first. */
        const val MAX_EXTRA_REQUESTS = 4

        /** The loans that a node asks for at once for one team; requests beyond them share the next one. */
        const val MAX_LOANS = 4

        /** The requests that may wait on a node for loans, of all teams: more than arrive in the longest wait. */
        const val MAX_WAITING = 256
    }
}
