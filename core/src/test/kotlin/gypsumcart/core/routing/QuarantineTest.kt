package gypsumcart.core.routing

import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.Outcome
import gypsumcart.core.Prompt
import gypsumcart.core.PromptPartId
import gypsumcart.core.RefusalReason
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class QuarantineTest {
    private val serving = ServingFleet()
    private val nodes = serving.fleet.nodes.map { it.id.text }
    private val random = Random(7)

    private infix fun Prompt.has(part: String): Boolean = parts.any { it.id.text == part }

    private fun deadly(vararg deadlyParts: String) {
        serving.isDeadly = { prompt -> deadlyParts.any { prompt has it } }
    }

    /** Sends sound requests at ten a second, and others from [tainted] once in [everyth] of them, for [duration]. */
    private fun serve(duration: Duration, everyth: Int = 10, tainted: () -> Prompt): List<Long> {
        val sound = ArrayList<Long>()
        val end = serving.fleet.now + duration
        var count = 0
        while (serving.fleet.now < end) {
            if (count++ % everyth == 0) serving.send(nodes.random(random), tainted())
            sound += serving.send(nodes.random(random), promptOf("system", "subject-${random.nextInt(40)}"))
            serving.run(100.milliseconds)
        }
        serving.run(1.seconds)
        return sound
    }

    private fun fifthCrash(): Duration = serving.crashTimes.sorted().getOrElse(4) { Duration.INFINITE }

    private fun reachedLate(part: String): Int =
        serving.received.count { (time, prompt) -> prompt has part && time > fifthCrash() + 3.seconds }

    // Guards against requests with one part of a prompt crashing back end after back end (BUDGET in the tainted day).
    @Test
    fun `requests with a part that crashes engines reach none beyond the first few crashes`() {
        deadly("bad")
        val sound = serve(20.seconds) { promptOf("system", "bad", "subject-${random.nextInt(40)}") }
        expectThat(serving.crashTimes.size).isLessThanOrEqualTo(5)
        expectThat(reachedLate("bad")).isEqualTo(0)
        val answered = sound.count { serving.endings[it]?.answered ?: false }
        expectThat(answered).isGreaterThan(sound.size * 9 / 10)
    }

    @Test
    fun `two parts that crash engines at the same time are both quarantined`() {
        deadly("bad", "worse")
        var count = 0
        serve(20.seconds, everyth = 5) {
            promptOf("system", if (count++ % 2 == 0) "bad" else "worse", "subject-${random.nextInt(40)}")
        }
        expectThat(reachedLate("bad") + reachedLate("worse")).isLessThanOrEqualTo(3)
        expectThat(serving.server(nodes.last()).quarantined).containsExactlyInAnyOrder("bad", "worse")
    }

    @Test
    fun `a quarantined request is told at once when it may come back, and that it did not run`() {
        deadly("bad")
        serve(5.seconds, everyth = 3) { promptOf("system", "bad", "subject-1") }
        val number = serving.send(nodes.first(), promptOf("system", "bad", "subject-2"))
        val outcome = serving.endings.getValue(number).outcome as Outcome.NotRun
        expectThat(outcome.reason).isEqualTo(RefusalReason.Quarantined(PromptPartId("bad")))
        expectThat(checkNotNull(outcome.retryAfter)).isGreaterThan(20.seconds)
    }

    @Test
    fun `the subject of requests that always held the deadly part is refused only together with it`() {
        deadly("bad")
        serve(5.seconds, everyth = 3) { promptOf("system", "bad", "only-subject") }
        val sound = serving.send(nodes.first(), promptOf("system", "only-subject"))
        serving.run(1.seconds)
        expectThat(serving.endings.getValue(sound).answered).isTrue()
        expectThat(serving.server(nodes.last()).quarantined).containsExactlyInAnyOrder("bad")
    }

    @Test
    fun `a client that names the parts of others beside a deadly one keeps theirs in use`() {
        deadly("bad")
        serve(8.seconds, everyth = 3) { promptOf("subject-1", "subject-2", "bad", "made-up-${random.nextInt()}") }
        val sound = List(20) { serving.send(nodes[it % 4], promptOf("system", "subject-${1 + it % 2}")) }
        serving.run(1.seconds)
        expectThat(sound.count { serving.endings.getValue(it).answered }).isEqualTo(20)
    }

    @Test
    fun `a request is sent to a third engine neither after it crashed two nor after others with its part did`() {
        deadly("bad")
        val first = serving.send(nodes.first(), promptOf("rare", "bad"), ServingFleet.RESUMABLE)
        serving.run(1.seconds)
        expectThat(serving.crashTimes).hasSize(2)
        val second = serving.send(nodes.last(), promptOf("rare", "bad"), ServingFleet.RESUMABLE)
        serving.run(1.seconds)
        expectThat(serving.crashTimes).hasSize(3)
        expectThat(listOf(first, second).map { serving.endings.getValue(it).outcome }).all { isA<Outcome.Failed>() }
    }

    @Test
    fun `ordinary crashes and the loss of a zone quarantine no part`() {
        repeat(6) { round ->
            repeat(30) { serving.send(nodes[it % 4], promptOf("rare-${it % 3}", "rarer-${it % 5}")) }
            serving.run(50.milliseconds)
            serving.crash { if (round % 2 == 0) it.take(4) else it.take(1) }
            serving.run(4.seconds)
            serving.send(nodes[round % 4], promptOf("rare-${round % 3}", "rarer-${round % 5}"))
            serving.run(1.seconds)
        }
        expectThat(nodes.flatMap { serving.server(it).quarantined }).isEmpty()
    }

    @Test
    fun `a part that is sound again is served after one trial`() {
        deadly("bad")
        serve(8.seconds) { promptOf("system", "bad") }
        val crashes = serving.crashTimes.size
        serving.isDeadly = { false }
        serve(60.seconds, everyth = 5) { promptOf("system", "bad") }
        expectThat(nodes.flatMap { serving.server(it).quarantined }).isEmpty()
        val number = serving.send(nodes.last(), promptOf("system", "bad"))
        serving.run(1.seconds)
        expectThat(serving.endings.getValue(number).answered).isTrue()
        expectThat(serving.crashTimes).hasSize(crashes)
    }

    @Test
    fun `trials of a part that still crashes engines become rare`() {
        deadly("bad")
        serve(100.seconds, everyth = 5) { promptOf("system", "bad") }
        expectThat(reachedLate("bad")).isLessThanOrEqualTo(2)
    }

    @Test
    fun `a restarted node and one that is cut off from the others know what they learned`() {
        deadly("bad")
        val cut = NodeId(nodes.last())
        serving.fleet.isolate(cut)
        serving.run(4.seconds)
        repeat(5) {
            serving.send(nodes.first(), promptOf("system", "bad"))
            serving.run(700.milliseconds)
        }
        serving.fleet.restart(NodeId(nodes[1]))
        serving.addServer(serving.fleet.node(nodes[1]))
        serving.run(3.seconds)
        val crashes = serving.crashTimes.size
        nodes.forEach { serving.send(it, promptOf("system", "bad")) }
        serving.run(1.seconds)
        expectThat(serving.crashTimes).hasSize(crashes)
    }

    @Test
    fun `parts that clients make up do not hide a deadly part`() {
        deadly("bad")
        val attack: () -> Prompt = {
            promptOf(*Array(40) { "made-up-${random.nextInt()}" }, "bad", *Array(40) { "made-up-${random.nextInt()}" })
        }
        serve(15.seconds, everyth = 3, attack)
        expectThat(serving.server(nodes.first()).quarantined).containsExactlyInAnyOrder("bad")
        expectThat(reachedLate("bad")).isEqualTo(0)
    }

    @Test
    fun `what is reported of parts is bounded, whatever clients send`() {
        val quarantine = Quarantine()
        repeat(200) {
            val prompt = promptOf(*Array(100) { "made-up-${random.nextInt()}" }, "x".repeat(10_000))
            quarantine.recordCut(prompt, InstanceKey(BackEndId("e$it"), Incarnation(1)), at(10.milliseconds * it))
        }
        val evidence = quarantine.evidence(at(2.seconds))
        expectThat(evidence).hasSize(64)
        expectThat(evidence.maxOf { it.part.text.length }).isLessThanOrEqualTo(128)
    }
}
