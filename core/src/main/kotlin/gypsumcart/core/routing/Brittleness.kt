package gypsumcart.core.routing

import gypsumcart.core.MonotonicTime
import gypsumcart.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Remembers that back ends of one service said that they are brittle, for those that have yet to say anything. */
internal class ServiceBrittleness {
    private var tolerance = 0
    private var statedAt: MonotonicTime? = null

    fun record(statement: BrittlenessStatement, at: MonotonicTime) {
        if (statement !is BrittlenessStatement.Brittle || statedAt?.let { at < it } ?: false) return
        tolerance = statement.tolerance
        statedAt = at
    }

    /** Returns what is assumed of a back end that has said nothing, or null if others are not brittle either. */
    fun toleranceOrNull(now: MonotonicTime): Int? = statedAt?.let { if (now - it <= MEMORY) tolerance else null }

    private companion object {
        /** Longer than a back end takes to come back, and not much longer than the last one has said it. */
        val MEMORY: Duration = 10.seconds
    }
}

/** Follows whether one back end is brittle, by what it states to this node and to the others. */
internal class Brittleness {
    private var statement: BrittlenessStatement? = null
    private var statedAt = MonotonicTime(0)
    private var brittleAt = MonotonicTime(0)
    private var sturdyAnswers = 0
    private var ownStatement: BrittlenessStatement? = null
    private var ownStatementAt = MonotonicTime(0)

    /** What is known of the service of the back end. */
    var service: ServiceBrittleness? = null

    /**
     * Processes a statement in a response to this node; returns whether it changed what is known.
     *
     * Brittleness ends only with several responses that don't state it, in case one omits it.
     */
    fun hear(statement: BrittlenessStatement, now: MonotonicTime): Boolean {
        when (statement) {
            is BrittlenessStatement.Brittle -> sturdyAnswers = 0

            BrittlenessStatement.Sturdy ->
                if (this.statement is BrittlenessStatement.Brittle) {
                    sturdyAnswers++
                    if (sturdyAnswers < END_ANSWERS || now - brittleAt < END_CONFIRMATION) return false
                }
        }
        ownStatement = statement
        ownStatementAt = now
        return adopt(statement, now)
    }

    /** Processes what another node heard at the time [at]; returns whether it changed what is known. */
    fun learn(statement: BrittlenessStatement, at: MonotonicTime): Boolean =
        if (this.statement != null && at <= statedAt) false else adopt(statement, at)

    private fun adopt(statement: BrittlenessStatement, at: MonotonicTime): Boolean {
        val isChanged = statement != (this.statement ?: BrittlenessStatement.Sturdy)
        this.statement = statement
        statedAt = at
        if (statement is BrittlenessStatement.Brittle) brittleAt = at
        service?.record(statement, at)
        return isChanged
    }

    /** Returns the requests that the back end can turn away in a second, or null if it is not brittle. */
    fun toleranceOrNull(now: MonotonicTime): Int? =
        when (val s = statement) {
            is BrittlenessStatement.Brittle -> if (now - brittleAt <= MEMORY) s.tolerance else null
            BrittlenessStatement.Sturdy -> null
            null -> service?.toleranceOrNull(now)
        }

    /** Returns what this node has heard lately, if it concerns others. */
    fun reportOrNull(service: ServiceName, instance: InstanceKey, now: MonotonicTime): BrittlenessReport? {
        val statement = ownStatement ?: return null
        val age = now - ownStatementAt
        return if (age <= SHARING_TIME) BrittlenessReport(service, instance, statement, age) else null
    }

    private companion object {
        /** Responses that don't state it, and the time for which none may have stated it. */
        const val END_ANSWERS = 2
        val END_CONFIRMATION: Duration = 1.seconds

        /** Longer than it takes a report to reach all nodes, also through the store. */
        val SHARING_TIME: Duration = 15.seconds

        /** Longer than a statement is shared, so that a back end that other nodes call stays known as brittle. */
        val MEMORY: Duration = 30.seconds
    }
}
