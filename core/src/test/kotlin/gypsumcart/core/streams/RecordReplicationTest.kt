package gypsumcart.core.streams

import gypsumcart.core.Address
import gypsumcart.core.Incarnation
import gypsumcart.core.NodeId
import gypsumcart.core.RequestId
import gypsumcart.core.ZoneName
import gypsumcart.core.at
import gypsumcart.core.membership.NodeKey
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers which nodes get the records of one node's streams. */
class RecordReplicationTest {
    private val self = NodeKey(NodeId("self"), Incarnation(1))
    private val replication = RecordReplication(self)
    private var now = at(0.seconds)

    private fun peer(name: String, zone: String, incarnation: Long = 1) =
        StreamPeer(NodeKey(NodeId(name), Incarnation(incarnation)), Address("10.0.0.1", 1), ZoneName(zone))

    /** Three nodes of two zones, all of which keep records. */
    private val others = listOf(peer("a", "left"), peer("b", "left"), peer("c", "right"))

    private fun add(id: String): Boolean = replication.add(record(id, V1), now)

    private fun answer(peer: NodeKey) = replication.end(peer, StreamMessageResult.Answered(emptyList()), now)

    private fun fail(peer: NodeKey) = replication.end(peer, StreamMessageResult.Failed, now)

    private fun List<StreamEffect.Send>.stored() = single { it.message.toStore.isNotEmpty() }

    private fun List<StreamEffect.Send>.kept() = single { it.message.toKeep.isNotEmpty() }

    private fun StreamMessage.ids() = (toStore + toKeep).map { it.beganAs.text }

    // Guards against a zone that takes both copies of a record with it.
    @Test
    fun `a record goes to two nodes of different zones, one of which stores it`() {
        replication.update(others)
        expectThat(add("s")).isFalse()
        val sent = replication.dueMessages(now)
        expectThat(sent).hasSize(2)
        expectThat(sent.stored().peer.zone).isNotEqualTo(sent.kept().peer.zone)
        expectThat(sent.flatMap { it.message.ids() }).containsExactly("s", "s")
    }

    // Guards against a message for each stream at a node that answers slowly.
    @Test
    fun `a node gets the next records together when it has answered the message before`() {
        replication.update(others)
        add("first")
        val target =
            replication
                .dueMessages(now)
                .stored()
                .peer.key
        add("second")
        add("third")
        expectThat(replication.dueMessages(now)).isEmpty()
        answer(target)
        val next = replication.dueMessages(now).single()
        expectThat(next.peer.key).isEqualTo(target)
        expectThat(next.message.toStore.map { it.beganAs.text }).containsExactly("second", "third")
    }

    // Guards against records that are lost with the node to which they were on their way (LOST).
    @Test
    fun `the records of a message that failed go to another node, those that waited too`() {
        replication.update(others)
        add("sent")
        val failed =
            replication
                .dueMessages(now)
                .stored()
                .peer.key
        add("waiting")
        expectThat(fail(failed).toStore).isEmpty()
        val again = replication.dueMessages(now)
        expectThat(again.map { it.peer.key }).doesNotContain(failed)
        expectThat(
            again
                .stored()
                .message.toStore
                .map { it.beganAs.text },
        ).containsExactly("sent", "waiting")
    }

    // Guards against records that wait for one node after the other to fail, while a zone is cut off (LOST).
    @Test
    fun `a record whose node does not answer in time goes to another one too, once`() {
        replication.update(others)
        add("s")
        val silent =
            replication
                .dueMessages(now)
                .stored()
                .peer.key
        others.map { it.key }.filter { it != silent }.forEach(::answer)
        now += 99.milliseconds
        expectThat(replication.giveLateToOthers(now)).isEmpty()
        expectThat(replication.dueMessages(now)).isEmpty()
        now += 1.milliseconds
        expectThat(replication.nextDueTime).isEqualTo(now)
        expectThat(replication.giveLateToOthers(now)).isEmpty()
        val again = replication.dueMessages(now).stored()
        expectThat(again.peer.key).isNotEqualTo(silent)
        expectThat(again.message.ids()).containsExactly("s")
        expectThat(fail(silent).toStore).isEmpty()
        expectThat(replication.dueMessages(now).flatMap { it.message.toStore }).isEmpty()
    }

    // Guards against a node that stays out of use after one slow answer.
    @Test
    fun `a node that answers late is used again`() {
        replication.update(others.take(1))
        add("s")
        replication.dueMessages(now)
        now += 100.milliseconds
        expectThat(replication.giveLateToOthers(now).map { it.beganAs.text }).containsExactly("s")
        expectThat(add("second")).isTrue()
        answer(others.first().key)
        expectThat(add("third")).isFalse()
    }

    // Guards against records that nobody writes while no other node answers (LOST).
    @Test
    fun `records are for this node to store when no other one takes them, for a second`() {
        replication.update(others.take(1))
        expectThat(add("sent")).isFalse()
        replication.dueMessages(now)
        val ended = fail(others.first().key)
        expectThat(ended.toStore.map { it.beganAs.text }).containsExactly("sent")
        expectThat(add("second")).isTrue()
        expectThat(replication.ask(RequestId("x"), now)).isEmpty()
        now += 1.seconds
        expectThat(add("third")).isFalse()
    }

    // Guards against records that wait for others in a deployment of one node, or of a build without the link.
    @Test
    fun `a node that is alone or has no link stores its own records`() {
        replication.update(listOf(StreamPeer(self, Address("10.0.0.1", 1), ZoneName("left"))))
        expectThat(add("s")).isTrue()
        expectThat(replication.dueMessages(now)).isEmpty()
        val unlinked = RecordReplication(self = null)
        expectThat(unlinked.update(others)).isFalse()
        expectThat(unlinked.add(record("s", V1), now)).isTrue()
        expectThat(unlinked.dueMessages(now)).isEmpty()
    }

    // Guards against a node that stores its own records and dies with the only copy.
    @Test
    fun `a node that keeps records stores its own, which another zone keeps too`() {
        replication.update(others + StreamPeer(self, Address("10.0.0.1", 1), ZoneName("left")))
        expectThat(add("s")).isTrue()
        expectThat(
            replication
                .dueMessages(now)
                .single()
                .peer.zone,
        ).isEqualTo(ZoneName("right"))
    }

    // Guards against questions that hold a take-up up, as their node will not answer.
    @Test
    fun `questions go to all nodes, and end with their messages`() {
        replication.update(others)
        expectThat(replication.ask(RequestId("s"), now)).isEqualTo(others.mapTo(HashSet()) { it.key })
        val sent = replication.dueMessages(now)
        expectThat(
            sent.map {
                it.message.asked
                    .single()
                    .text
            },
        ).containsExactly("s", "s", "s")
        expectThat(fail(sent.first().peer.key).asked.map { it.text }).containsExactly("s")
        expectThat(replication.ask(RequestId("t"), now)).hasSize(2)
    }

    // Guards against two records of a stream that nobody will take up.
    @Test
    fun `the record of a stream that ends before it is sent is dropped`() {
        replication.update(others)
        add("s")
        replication.drop(RequestId("s"))
        expectThat(replication.dueMessages(now)).isEmpty()
    }

    // Guards against a node that starts again without the records it kept, while those who sent them rely on it (LOST).
    @Test
    fun `the records are sent again to a node that has started again`() {
        val origins = StreamOrigins(self)
        origins.decide(listed(setOf(V1, V2)), now)
        origins.decide(StreamEvent.PeersUpdated(others), now)
        val sent = origins.decide(StreamEvent.StreamBegan(record("s", V1)), now).filterIsInstance<StreamEffect.Send>()
        sent.forEach {
            origins.decide(StreamEvent.MessageEnded(it.peer.key, StreamMessageResult.Answered(emptyList())), now)
        }
        val restarted = sent.kept().peer
        val again = restarted.copy(key = restarted.key.copy(incarnation = Incarnation(2)))
        now += 100.milliseconds
        val effects = origins.decide(StreamEvent.PeersUpdated(others - restarted + again), now)
        expectThat(effects.filterIsInstance<StreamEffect.Send>().map { it.peer }).contains(again)
        expectThat(origins.decide(StreamEvent.PeersUpdated(others - restarted + again), now)).isEmpty()
    }

    // Guards against a message in flight that is taken for one to the process that started after it.
    @Test
    fun `the end of a message to a process that is gone changes nothing`() {
        replication.update(others)
        add("s")
        val sent = replication.dueMessages(now)
        val gone = sent.stored().peer
        val again = gone.copy(key = gone.key.copy(incarnation = Incarnation(2)))
        expectThat(replication.update(others - gone + again)).isTrue()
        add("s")
        expectThat(fail(gone.key).toStore).isEmpty()
        val resent = replication.dueMessages(now)
        expectThat(resent.map { it.peer }).containsExactlyInAnyOrder(again)
    }
}
