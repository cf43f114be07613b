package gypsumcart.core.directory

import gypsumcart.core.BackEndId
import gypsumcart.core.at
import gypsumcart.core.backEnd
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class BackEndDirectoryTest {
    private val directory = BackEndDirectory(lapseGrace = 2.seconds)

    private fun names(effects: List<DirectoryEffect>): List<String> =
        (effects.single() as DirectoryEffect.List).backEnds.map { it.id.text }

    private fun read(vararg names: String, second: Int = 0) =
        directory.decide(DirectoryEvent.Read(names.map { backEnd(it) }), at(second.seconds))

    private fun remove(name: String, second: Int) =
        directory.decide(DirectoryEvent.Changed(emptyList(), listOf(BackEndId(name))), at(second.seconds))

    @Test
    fun `a back end that is removed while the registry answers is gone`() {
        read("x", "y")
        expectThat(names(remove("x", 1))).containsExactly("y")
    }

    @Test
    fun `an entry that lapsed with the registry stays until it had the time to come back`() {
        read("x", "y")
        directory.decide(DirectoryEvent.Lost, at(1.seconds))
        expectThat(names(remove("x", 5))).containsExactly("y", "x")
        directory.decide(DirectoryEvent.Regained, at(5.seconds))
        expectThat(directory.decide(DirectoryEvent.Sweep, at(6.seconds))).isEmpty()
        expectThat(names(directory.decide(DirectoryEvent.Sweep, at(8.seconds)))).containsExactly("y")
    }

    @Test
    fun `an entry that is removed after the registry's return is gone`() {
        read("x", "y")
        directory.decide(DirectoryEvent.Lost, at(1.seconds))
        directory.decide(DirectoryEvent.Regained, at(5.seconds))
        expectThat(names(remove("x", 6))).containsExactly("y")
    }

    @Test
    fun `an outage that is too short for entries to lapse keeps none`() {
        read("x", "y")
        directory.decide(DirectoryEvent.Lost, at(1.seconds))
        expectThat(names(remove("x", 2))).containsExactly("y")
    }

    @Test
    fun `an entry that came back stays`() {
        read("x")
        directory.decide(DirectoryEvent.Lost, at(1.seconds))
        remove("x", 5)
        directory.decide(DirectoryEvent.Regained, at(5.seconds))
        directory.decide(DirectoryEvent.Changed(listOf(backEnd("x")), emptyList()), at(6.seconds))
        expectThat(directory.decide(DirectoryEvent.Sweep, at(8.seconds))).isEmpty()
    }

    @Test
    fun `a back end that was leaving does not come back`() {
        directory.decide(DirectoryEvent.Read(listOf(backEnd("x", leaving = true), backEnd("y"))), at(0.seconds))
        directory.decide(DirectoryEvent.Lost, at(1.seconds))
        expectThat(names(remove("x", 2))).isEqualTo(listOf("y"))
    }

    @Test
    fun `a late heartbeat does not call back a start that is leaving`() {
        directory.decide(DirectoryEvent.Read(listOf(backEnd("x", leaving = true))), at(0.seconds))
        val listed = directory.decide(DirectoryEvent.Changed(listOf(backEnd("x")), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.List(listOf(backEnd("x", leaving = true)))))
    }

    @Test
    fun `a late heartbeat does not call back a start that left and was removed`() {
        directory.decide(DirectoryEvent.Read(listOf(backEnd("x", leaving = true))), at(0.seconds))
        remove("x", 1)
        val listed = directory.decide(DirectoryEvent.Changed(listOf(backEnd("x")), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.List(listOf(backEnd("x", leaving = true)))))
    }

    @Test
    fun `a late heartbeat of an older start does not replace the newer one`() {
        directory.decide(DirectoryEvent.Read(listOf(backEnd("x", incarnation = 2))), at(0.seconds))
        val late = backEnd("x", incarnation = 1)
        val listed = directory.decide(DirectoryEvent.Changed(listOf(late), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.List(listOf(backEnd("x", incarnation = 2)))))
    }

    @Test
    fun `a start that follows one that left takes work`() {
        directory.decide(DirectoryEvent.Read(listOf(backEnd("x", leaving = true))), at(0.seconds))
        val next = backEnd("x", incarnation = 2)
        val listed = directory.decide(DirectoryEvent.Changed(listOf(next), emptyList()), at(3.seconds))
        expectThat(listed).isEqualTo(listOf(DirectoryEffect.List(listOf(next))))
    }
}
