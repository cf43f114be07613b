package gypsumcart.node

import gypsumcart.core.BackEndId
import gypsumcart.core.Incarnation
import gypsumcart.core.capacity.CallSums
import gypsumcart.core.capacity.CapacityReport
import gypsumcart.core.capacity.InstanceTag
import gypsumcart.core.capacity.tag
import gypsumcart.core.routing.InstanceKey
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class CapacityCodecTest {
    @Test
    fun `a report is read as it was written, rounded to tenths`() {
        val report =
            CapacityReport(
                mapOf(
                    InstanceTag(-5) to CallSums(3.14, 4.26, 0.0, 2.0, 1.0),
                    InstanceTag(5) to CallSums(1.0, 8.0, 1.0, 0.0),
                ),
            )
        val read =
            CapacityReport(
                mapOf(
                    InstanceTag(-5) to CallSums(3.1, 4.3, 0.0, 2.0, 1.0),
                    InstanceTag(5) to CallSums(1.0, 8.0, 1.0, 0.0),
                ),
            )
        expectThat(report.toWire().toCapacity()).isEqualTo(read)
    }

    @Test
    fun `entries of another form are left out`() {
        val wire =
            mapOf(
                "" to listOf(1, 1, 1, 1),
                "a" to listOf(1),
                "b" to listOf(1, -1, 0, 0),
                "c" to listOf(10, 10, 0, 0),
            )
        val read = CapacityReport(mapOf(InstanceTag(12) to CallSums(1.0, 1.0)))
        expectThat(wire.toCapacity()).isEqualTo(read)
    }

    @Test
    fun `an instance takes less than 30 bytes of a report`() {
        val tag = InstanceKey(BackEndId("i-7f3a91c2d04c"), Incarnation(1_765_000_000_000)).tag
        val wire = CapacityReport(mapOf(tag to CallSums(123.4, 234.5, inProgress = 9.0, waiting = 2.0))).toWire()
        expectThat(wire.entries.sumOf { (key, value) -> key.length + value.toString().length + 4 }).isLessThan(30)
    }
}
