package gypsumcart.core.directory

import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.at
import gypsumcart.core.backEnd
import gypsumcart.core.routing.InstanceKey
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two faults of the list of back ends.
 *
 * Entries of live back ends may expire while the registry is unavailable; if they were dropped at once, requests would
 * find no back end. A delayed heartbeat shows an earlier state of a back end; if that state were adopted, requests
 * would go to a back end that is draining or was replaced.
 */
class BackEndDirectoryTest {
    private val directory = BackEndDirectory(expiryGracePeriod = 2.seconds)

    private fun publishedIds(effects: List<DirectoryEffect>): List<String> =
        (effects.single() as DirectoryEffect.Publish).backEnds.map { it.id.text }

    private fun snapshot(vararg ids: String, second: Int = 0) =
        directory.decide(DirectoryEvent.Snapshot(ids.map { backEnd(it) }), at(second.seconds))

    private fun remove(id: String, second: Int) =
        directory.decide(DirectoryEvent.Changed(emptyList(), listOf(BackEndId(id))), at(second.seconds))

    @Test
    fun `a back end that is removed while the registry is available is dropped at once`() {
        snapshot("x", "y")
        expectThat(publishedIds(remove("x", 1))).containsExactly("y")
    }

    @Test
    fun `an entry that expired in an outage is dropped only after the grace period`() {
        snapshot("x", "y")
        directory.decide(DirectoryEvent.RegistryUnavailable, at(1.seconds))
        expectThat(publishedIds(remove("x", 5))).containsExactly("y", "x")
        directory.decide(DirectoryEvent.RegistryAvailable, at(5.seconds))
        expectThat(directory.decide(DirectoryEvent.Sweep, at(6.seconds))).isEmpty()
        expectThat(publishedIds(directory.decide(DirectoryEvent.Sweep, at(8.seconds)))).containsExactly("y")
    }

    /** Guards against requests to a back end that left while this node alone did not reach the registry. */
    @Test
    fun `an entry that disappears in an outage beside most others that stay is dropped at once`() {
        snapshot("x", "y", "z")
        directory.decide(DirectoryEvent.RegistryUnavailable, at(1.seconds))
        expectThat(publishedIds(remove("x", 5))).containsExactly("y", "z")
    }

    @Test
    fun `an entry that is removed after the outage is dropped at once`() {
        snapshot("x", "y")
        directory.decide(DirectoryEvent.RegistryUnavailable, at(1.seconds))
        directory.decide(DirectoryEvent.RegistryAvailable, at(5.seconds))
        expectThat(publishedIds(remove("x", 6))).containsExactly("y")
    }

    @Test
    fun `an entry that is removed in an outage too short for entries to expire is dropped at once`() {
        snapshot("x", "y")
        directory.decide(DirectoryEvent.RegistryUnavailable, at(1.seconds))
        expectThat(publishedIds(remove("x", 2))).containsExactly("y")
    }

    @Test
    fun `an entry that reappears within the grace period stays listed`() {
        snapshot("x")
        directory.decide(DirectoryEvent.RegistryUnavailable, at(1.seconds))
        remove("x", 5)
        directory.decide(DirectoryEvent.RegistryAvailable, at(5.seconds))
        directory.decide(DirectoryEvent.Changed(listOf(backEnd("x")), emptyList()), at(6.seconds))
        expectThat(directory.decide(DirectoryEvent.Sweep, at(8.seconds))).isEmpty()
    }

    @Test
    fun `a draining back end that is removed in an outage is dropped at once`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", draining = true), backEnd("y"))), at(0.seconds))
        directory.decide(DirectoryEvent.RegistryUnavailable, at(1.seconds))
        expectThat(publishedIds(remove("x", 2))).isEqualTo(listOf("y"))
    }

    @Test
    fun `a delayed heartbeat does not return a draining back end to service`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", draining = true))), at(0.seconds))
        val listed = directory.decide(DirectoryEvent.Changed(listOf(backEnd("x")), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.Publish(listOf(backEnd("x", draining = true)))))
    }

    @Test
    fun `a delayed heartbeat does not return a removed draining back end to service`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", draining = true))), at(0.seconds))
        remove("x", 1)
        val listed = directory.decide(DirectoryEvent.Changed(listOf(backEnd("x")), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.Publish(listOf(backEnd("x", draining = true)))))
    }

    @Test
    fun `a delayed heartbeat of an earlier incarnation does not replace the current one`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", incarnation = 2))), at(0.seconds))
        val late = backEnd("x", incarnation = 1)
        val listed = directory.decide(DirectoryEvent.Changed(listOf(late), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.Publish(listOf(backEnd("x", incarnation = 2)))))
    }

    @Test
    fun `a new incarnation of a draining back end is listed as not draining`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", draining = true))), at(0.seconds))
        val next = backEnd("x", incarnation = 2)
        val listed = directory.decide(DirectoryEvent.Changed(listOf(next), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.Publish(listOf(next))))
    }

    private fun stateDeparture(id: String, second: Int, incarnation: Long = 1) =
        directory.decide(
            DirectoryEvent.DepartureStated(InstanceKey(BackEndId(id), Incarnation(incarnation))),
            at(second.seconds),
        )

    @Test
    fun `a back end that states its departure is listed as draining, once`() {
        snapshot("x", "y")
        val listed = listOf(backEnd("x", draining = true), backEnd("y"))
        expectThat(stateDeparture("x", 1)).isEqualTo(listOf(DirectoryEffect.Publish(listed)))
        expectThat(stateDeparture("x", 1)).isEmpty()
    }

    @Test
    fun `an expired entry whose back end states its departure is kept as draining`() {
        snapshot("x")
        directory.decide(DirectoryEvent.RegistryUnavailable, at(1.seconds))
        remove("x", 5)
        val listed = listOf(backEnd("x", draining = true))
        expectThat(stateDeparture("x", 6)).isEqualTo(listOf(DirectoryEffect.Publish(listed)))
    }

    @Test
    fun `a departure that was stated holds however late the same or an earlier instance is listed again`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", incarnation = 2))), at(0.seconds))
        stateDeparture("x", 1, incarnation = 2)
        remove("x", 2)
        directory.decide(DirectoryEvent.Sweep, at(900.seconds))
        for (incarnation in listOf(2L, 1L)) {
            val entry = backEnd("x", incarnation = incarnation)
            val listed = directory.decide(DirectoryEvent.Changed(listOf(entry), emptyList()), at(901.seconds))
            expectThat((listed.single() as DirectoryEffect.Publish).backEnds.filterNot { it.draining }).isEmpty()
        }
    }

    @Test
    fun `a departure concerns no later instance, also if that was listed before`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", incarnation = 2))), at(0.seconds))
        expectThat(stateDeparture("x", 1, incarnation = 1)).isEmpty()
        stateDeparture("x", 2, incarnation = 2)
        val next = backEnd("x", incarnation = 3)
        val listed = directory.decide(DirectoryEvent.Changed(listOf(next), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.Publish(listOf(next))))
    }

    private fun restore(second: Int) = directory.decide(DirectoryEvent.Restored, at(second.seconds))

    private fun list(id: String, second: Int) =
        directory.decide(DirectoryEvent.Changed(listOf(backEnd(id)), emptyList()), at(second.seconds))

    /** Guards against requests that find no back end because a copy of the registry lacks the entries. */
    @Test
    fun `an entry that an older copy of the registry lacks is kept for the grace period`() {
        snapshot("x", "y", "z")
        restore(10)
        expectThat(publishedIds(snapshot("x", "y", second = 10))).containsExactly("x", "y", "z")
        expectThat(directory.decide(DirectoryEvent.Sweep, at(11.seconds))).isEmpty()
        expectThat(publishedIds(directory.decide(DirectoryEvent.Sweep, at(13.seconds)))).containsExactly("x", "y")
    }

    @Test
    fun `an entry that an older copy of the registry lacks stays listed if it is written again`() {
        snapshot("x", "y")
        restore(10)
        snapshot("x", second = 10)
        expectThat(publishedIds(list("y", second = 11))).containsExactly("x", "y")
        expectThat(directory.decide(DirectoryEvent.Sweep, at(13.seconds))).isEmpty()
    }

    @Test
    fun `a draining back end that an older copy of the registry lacks is dropped at once`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", draining = true), backEnd("y"))), at(0.seconds))
        restore(10)
        expectThat(publishedIds(snapshot("y", second = 10))).containsExactly("y")
    }

    /** Guards against requests to a back end that has left, whose removal a copy of the registry lacks. */
    @Test
    fun `an entry that was removed is not used when an older copy of the registry lists it`() {
        snapshot("x", "y")
        remove("x", 8)
        restore(10)
        expectThat(publishedIds(snapshot("x", "y", second = 10))).containsExactly("y")
        expectThat(publishedIds(snapshot("x", "y", second = 11))).containsExactly("y")
    }

    @Test
    fun `an entry that was removed is used when it is written again after the registry has come back`() {
        snapshot("x", "y")
        remove("x", 8)
        restore(10)
        snapshot("x", "y", second = 10)
        expectThat(publishedIds(list("x", second = 11))).containsExactly("y", "x")
    }

    @Test
    fun `an entry that was removed does not keep a later start of its back end from being used`() {
        snapshot("x", "y")
        remove("x", 8)
        restore(10)
        val backEnds = listOf(backEnd("x", incarnation = 2), backEnd("y"))
        val published = directory.decide(DirectoryEvent.Snapshot(backEnds), at(10.seconds))
        expectThat(publishedIds(published)).containsExactly("y", "x")
    }

    /** Guards against requests to a back end that had said that it leaves, of which a copy knows nothing. */
    @Test
    fun `a back end that was draining stays so when an older copy of the registry lists it as ready`() {
        directory.decide(DirectoryEvent.Snapshot(listOf(backEnd("x", draining = true), backEnd("y"))), at(0.seconds))
        restore(10)
        val published = snapshot("x", "y", second = 10)
        val expected = listOf(backEnd("x", draining = true), backEnd("y"))
        expectThat(published).isEqualTo(listOf(DirectoryEffect.Publish(expected)))
    }
}
