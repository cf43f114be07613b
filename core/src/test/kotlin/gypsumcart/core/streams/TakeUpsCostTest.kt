package gypsumcart.core.streams

import gypsumcart.core.MonotonicTime
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Counts the messages and calls to the store that take-ups need in fleets with two versions. */
class TakeUpsCostTest {
    // Guards against messages and writes that grow faster than the streams, or beyond what the store takes.
    @ParameterizedTest
    @CsvSource("35, 15, 6", "81, 15, 4", "400, 4, 4")
    fun `messages and calls to the store stay within their limits`(nodeCount: Int, perSecond: Int, seconds: Int) {
        val fleet = StreamFleet(nodeCount, seed = 58)
        var callsAtStart = 0
        var calls = 0
        fleet.schedule(1.seconds) { callsAtStart = fleet.storeCalls }
        fleet.schedule(seconds.seconds) { calls = fleet.storeCalls - callsAtStart }
        fleet.run(perSecond, seconds.seconds) { random ->
            random.nextInt(20, 2_000).milliseconds.takeIf { random.nextInt(10) == 0 }
        }
        val recordMessages = fleet.sent.count { it.message.hasRecords }
        expectThat(fleet.takeUps.size).isGreaterThan(100)
        expectThat(recordMessages).isLessThanOrEqualTo(fleet.streamCount * 2)
        // A second holds as many pauses of a node as it may write in it, and one more write that is due at its start.
        expectThat(fleet.maxWritesPerSecond()).isLessThanOrEqualTo(50 + fleet.recorders.size)
        expectThat(fleet.questionsBeyondOnePerRound()).isEmpty()
        val questions = fleet.sent.sumOf { it.message.asked.size }
        println(
            "$nodeCount nodes, ${fleet.recorders.size} of which keep records, $perSecond streams a second each: " +
                "${perStream(recordMessages, fleet.streamCount)} messages with records a stream, " +
                "${perStream(questions, fleet.takeUps.size)} questions a take-up, " +
                "${fleet.sent.size / seconds} messages a second, " +
                "${calls / (seconds - 1)} calls to the store a second, " +
                "${fleet.maxWritesPerSecond()} writes in a second at most",
        )
    }

    private fun perStream(count: Int, streams: Int): Double = (count * 100.0 / streams).roundToInt() / 100.0

    private fun StreamFleet.maxWritesPerSecond(): Int {
        val window = ArrayDeque<MonotonicTime>()
        return writeTimes.maxOf { time ->
            window.addLast(time)
            while (time - window.first() >= 1.seconds) window.removeFirst()
            window.size
        }
    }

    /** Returns the take-ups that asked a node more often than they began to look; each round ends with a read. */
    private fun StreamFleet.questionsBeyondOnePerRound(): List<String> {
        val takeUpOf = takeUps.associateBy { it.stream.id }
        return sent
            .flatMap { sent -> sent.message.asked.map { it to sent.to } }
            .groupingBy { it }
            .eachCount()
            .filter { (question, count) -> count > takeUpOf.getValue(question.first).reads + 1 }
            .map { (question, count) -> "${question.first.text}: $count" }
    }
}
