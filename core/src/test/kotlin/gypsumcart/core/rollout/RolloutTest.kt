package gypsumcart.core.rollout

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.Optional
import kotlin.jvm.optionals.getOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Plays roll-outs on 28 nodes whose messages are late, lost and repeated. */
class RolloutTest {
    /** Names the ways in which the new version is bad; [rate] is the fraction of its responses that are. */
    enum class Fault(private val rate: Double, private val slow: Boolean) {
        FAILS(0.4, false),
        FAILS_ALWAYS(1.0, false),
        SLOW(0.5, true),
        LATER(0.5, false),
        UNDER_LOAD(0.6, true),
        ON_ONE_ROUTE(0.8, false),
        ;

        internal fun respond(call: SimulatedCall, random: Random): SimulatedResponse {
            val isActive =
                when (this) {
                    FAILS, FAILS_ALWAYS, SLOW -> true
                    LATER -> call.at > 6.seconds
                    UNDER_LOAD -> call.concurrent >= 2
                    ON_ONE_ROUTE -> call.prefix == "/c/"
                }
            val isBad = call.version == V2 && isActive && random.nextDouble() < rate
            return if (isBad) RolloutFleet.bad(random, slow) else RolloutFleet.usual(random)
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `over 50 seeds a bad version stays within its exposure and gets nothing after the roll-back time`(
        fault: Fault,
    ) {
        val found = inParallel { seed -> violationOrNull(seed, fault) }
        expectThat(found).isEmpty()
    }

    private fun violationOrNull(seed: Long, fault: Fault): String? {
        val fleet = RolloutFleet(seed, respond = fault::respond)
        fleet.order(V2, DURATION)
        fleet.runToEnd(DURATION)
        // What is exposed is compared with the requests so far, which is stricter than with those of the whole time.
        fleet.run(1.seconds)
        val end = minOf(fleet.fleet.now, fleet.orderedAt + DURATION)
        val exposed = fleet.exposedUntil(end)
        val allowed = fleet.requestsUntil(end) * LIMITS.exposedShare + LIMITS.exposedExtra
        val lastSent = fleet.sent.last { it.version == V2 }.at
        val deadline = fleet.badAnswers.getOrNull(TENTH)?.plus(LIMITS.rollbackTime) ?: Duration.INFINITE
        val isRolledBack = fleet.state is RolloutStage.RolledBack
        return if (isRolledBack && exposed <= allowed && lastSent <= deadline) {
            null
        } else {
            "seed $seed: ${fleet.state} exposed=$exposed allowed=$allowed bad=${fleet.badAnswers.size} " +
                "last=${lastSent - fleet.orderedAt} deadline=${deadline - fleet.orderedAt}"
        }
    }

    @Test
    fun `over 50 seeds a good version is complete in time and cuts no call`() {
        val found =
            inParallel { seed ->
                val fleet = RolloutFleet(seed)
                fleet.order(V2, DURATION)
                fleet.run(DURATION)
                val ends = fleet.stages.map { (at, row) -> "${at - fleet.orderedAt} ${row.stage}" }
                if (fleet.state == RolloutStage.Complete &&
                    fleet.cutCalls == 0
                ) {
                    null
                } else {
                    "seed $seed: ${fleet.cutCalls} $ends"
                }
            }
        expectThat(found).isEmpty()
    }

    /** Returns what [play] finds with each seed; each play is one thread's and shares nothing with the others. */
    private fun inParallel(play: (Long) -> String?): List<String> =
        (1..SEEDS)
            .toList()
            .parallelStream()
            .map { Optional.ofNullable(play(it.toLong())) }
            .toList()
            .mapNotNull { it.getOrNull() }

    private companion object {
        const val SEEDS = 50

        /** Stricter than the fiftieth bad answer, before which every run ends. */
        const val TENTH = 9
        val DURATION = 12.seconds
    }
}
