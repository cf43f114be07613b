package gypsumcart.core.routing

import gypsumcart.core.AdmittedRequest
import gypsumcart.core.BackEnd
import gypsumcart.core.BackEndVersion
import gypsumcart.core.CallFailure
import gypsumcart.core.CallKind
import gypsumcart.core.Incarnation
import gypsumcart.core.Outcome
import gypsumcart.core.StreamOrigin
import gypsumcart.core.admitted
import gypsumcart.core.dispatch.CallResult
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamVersionsPropertyTest {
    /** Sends streams to back ends of several versions that come, leave and crash at random. */
    private class RandomRun(seed: Long) {
        private val random = Random(seed)
        private val loop = CallLoop()
        private var listed: List<BackEnd> = List(random.nextInt(2, 9)) { create(it.toLong()) }
        private var lastNumber = 0L

        /** The version that wrote the first event of each stream of which its client has a part. */
        private val writers = HashMap<Long, BackEndVersion?>()

        /** The requests that got a call at another version than the one that wrote their first event. */
        val joined = ArrayList<Long>()

        /** The requests that ended although a back end of their version could have gone on. */
        val lost = ArrayList<Long>()

        private fun create(incarnation: Long): BackEnd {
            val version = VERSIONS.random(random)?.text
            return versioned(
                "e${random.nextInt(20)}-$incarnation",
                version,
            ).copy(incarnation = Incarnation(incarnation))
        }

        fun run(steps: Int) {
            loop.list(listed)
            repeat(steps) { step ->
                loop.now += 5.milliseconds
                when (random.nextInt(10)) {
                    in 0..3 -> send()
                    in 4..6 -> breakOff()
                    7 -> finish()
                    8 -> relist(step.toLong())
                    else -> loop.route(RoutingEvent.Sweep)
                }
            }
        }

        private fun send() {
            val request = stream(++lastNumber)
            if (random.nextInt(3) > 0) {
                loop.send(request)
            } else {
                val version = VERSIONS.random(random)
                writers[lastNumber] = version
                loop.send(request.copy(origin = StreamOrigin.WrittenBy(version)))
                val mayGoOn = listed.any { !it.draining && it.version == version }
                if (mayGoOn != (lastNumber in loop.calls)) lost += lastNumber
            }
            observe(lastNumber)
        }

        private fun stream(number: Long): AdmittedRequest {
            val kind = CallKind.Streamed(resumable = true, maxPause = 1.seconds)
            val template = admitted(kind, number, maxAttempts = 100)
            return template.copy(
                submission = template.submission.copy(arrivedAt = loop.now),
                deadline = loop.now + 1.days,
            )
        }

        private fun breakOff() {
            val call = loop.calls.values.randomOrNull(random) ?: return
            val number = call.admitted.ticket.number
            val called = loop.made.filter { it.admitted.ticket.number == number }.mapTo(HashSet()) { it.backEnd.key }
            val failure = listOf(CallFailure.Truncated, CallFailure.Withheld, CallFailure.Declined(503)).random(random)
            // A call that was withheld or declined writes no events.
            val wrote = failure == CallFailure.Truncated && random.nextBoolean()
            if (wrote) writers.putIfAbsent(number, call.backEnd.version)
            loop.breakOff(number, lastEventId = if (number in writers) "1" else null, failure)
            observe(number)
            val outcome = loop.outcomes[number] ?: return
            val others = listed.filter { !it.draining && it.key !in called && mayServe(number, it) }
            if (outcome !is Outcome.NotRun && number in writers && others.isNotEmpty()) lost += number
        }

        private fun mayServe(number: Long, backEnd: BackEnd): Boolean =
            number !in writers || writers[number] == backEnd.version

        private fun finish() {
            val call = loop.calls.values.randomOrNull(random) ?: return
            loop.end(call.admitted.ticket.number, CallResult.Answered(200))
        }

        private fun relist(step: Long) {
            listed =
                listed.mapNotNull {
                    when (random.nextInt(8)) {
                        0 -> null
                        1 -> it.copy(draining = true)
                        else -> it
                    }
                } + List(random.nextInt(3)) { create(1_000 + step * 4 + it) }
            loop.list(listed)
            loop.calls.keys.forEach(::observe)
        }

        private fun observe(number: Long) {
            val call = loop.calls[number] ?: return
            if (!mayServe(number, call.backEnd)) joined += number
            if (number in writers) {
                expectThat(call.admitted.origin).isEqualTo(StreamOrigin.WrittenBy(writers[number]))
            }
        }

        val resumed: Int get() = loop.made.count { it.resumeAfter != null }
    }

    // Guards against an order of crashes and departures that joins a stream of two versions, or loses it (ORDER, LOST).
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no request gets calls at two versions after events, and it goes on while its version has a back end`(
        seed: Long,
    ) {
        val run = RandomRun(seed)
        run.run(steps = 400)
        expectThat(run.joined).isEmpty()
        expectThat(run.lost).isEmpty()
        expectThat(run.resumed > 0).isTrue()
    }

    private companion object {
        val VERSIONS: List<BackEndVersion?> = listOf(null) + listOf("v1", "v1.1", "v2").map(::BackEndVersion)

        @JvmStatic
        fun seeds(): LongRange = 1L..50L
    }
}
