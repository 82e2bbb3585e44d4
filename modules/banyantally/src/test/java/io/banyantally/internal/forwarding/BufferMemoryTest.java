package io.banyantally.internal.forwarding;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Memory of buffered bodies. */
final class BufferMemoryTest {

    private static final long MAXIMUM_BYTES = 40L * 1024 * 1024;
    private static final int SMALL_BYTES = 64 * 1024;

    /** Guards against large bodies that leave no memory for the small bodies of other requests. */
    @Test
    void smallBodyFindsRoomBesideLargeBodiesThatGrowWithoutEnd() throws Exception {
        BufferMemory memory = new BufferMemory(MAXIMUM_BYTES);
        List<BufferMemory.Reservation> large = new ArrayList<>();
        for (int number = 0; number < 100; number++) {
            large.add(memory.open());
        }
        for (int size = SMALL_BYTES; size < MAXIMUM_BYTES; size += SMALL_BYTES) {
            for (BufferMemory.Reservation reservation : large) {
                try {
                    reservation.resize(size);
                } catch (BufferMemoryException full) {
                    assertTrue(size > SMALL_BYTES, full::getMessage);
                }
            }
        }

        memory.open().resize(SMALL_BYTES);

        assertTrue(memory.reservedBytes() <= MAXIMUM_BYTES);
    }

    /** Guards against memory that stays reserved after its request has ended. */
    @Test
    void closedReservationIsFree() throws Exception {
        BufferMemory memory = new BufferMemory(100);
        for (int request = 0; request < 10; request++) {
            try (BufferMemory.Reservation reservation = memory.open()) {
                reservation.resize(10);
                reservation.resize(50);
                assertThrows(BufferMemoryException.class, () -> reservation.resize(51));
            }
            assertEquals(0, memory.reservedBytes());
        }
    }

    /** Guards against bytes that are lost or mixed up between the pieces of a body. */
    @Test
    void bodyIsReadAsItWasWritten() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        for (int run = 0; run < 50; run++) {
            byte[] body = new byte[random.nextInt(100_000)];
            random.nextBytes(body);
            BodyBuffer buffer = new BodyBuffer(new BufferMemory(MAXIMUM_BYTES).open());
            for (int start = 0; start < body.length; ) {
                int count = Math.min(body.length - start, random.nextInt(1, 20_000));
                buffer.write(ByteBuffer.wrap(body, start, count));
                start += count;
            }

            assertEquals(body.length, buffer.size());
            assertArrayEquals(body, buffer.takeBytes());
        }
    }
}
