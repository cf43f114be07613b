package gypsumcart.core.leases

import gypsumcart.core.UnixMillis
import gypsumcart.core.at
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a process that was paused or suspended and then acts on a term that ended meanwhile. */
class CommandPermitTest {
    private val permit =
        CommandPermit(
            validUntil = at(3.seconds),
            grantedAt = at(1.seconds),
            grantedWallTime = UnixMillis(1_000_000),
            maxClockJump = 300.milliseconds,
        )

    @Test
    fun `a command may be executed at once`() {
        expectThat(permit.isValid(at(1.001.seconds), UnixMillis(1_000_001))).isTrue()
    }

    @Test
    fun `a command is not executed after a pause that outlasted the term`() {
        expectThat(permit.isValid(at(3.seconds), UnixMillis(1_002_000))).isFalse()
    }

    @Test
    fun `a command is not executed after the host was suspended`() {
        expectThat(permit.isValid(at(1.001.seconds), UnixMillis(1_005_000))).isFalse()
    }
}
