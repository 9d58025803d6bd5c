package kelphollow.protocol.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.redis.RedisMessage;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Names of volumes, which are kept for minutes and handed over in a file when the process is replaced. */
class RespCommandTest {
    private static RespCommand read(String volume) throws MalformedCommandException {
        String fields = "c=dump-read,t=padrao,d=1200,volume=" + volume + ",units=1,shard=0,hosts=1";
        List<RedisMessage> elements = Stream.of(RespWireNames.GET, "p", "i", fields).<RedisMessage>map(RespCodec::bulk)
            .toList();
        return RespCommand.read(elements);
    }

    @Test void aVolumeOfHexDigitsIsAccepted() throws Exception {
        assertEquals("00000003b4d60021", read("00000003b4d60021").arrival(0).volume());
    }

    /** Guards against names that break a line of the hand-over, and against some hundred long ones that fill the heap. */
    @Test void aVolumeWithBlanksLineBreaksOrVeryManyCharactersIsMalformed() {
        for (String volume : List.of("no volume", "a\nb", "\u00e9", "v".repeat(129))) {
            String error = assertThrows(MalformedCommandException.class, () -> read(volume), volume).getMessage();

            assertTrue(error.contains("volume"), error);
        }
    }
}
