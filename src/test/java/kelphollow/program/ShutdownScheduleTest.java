package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The schedule after SIGTERM. The platform's SIGKILL follows after the longest deadline, capped at 3 s, plus 0.7 s. */
class ShutdownScheduleTest {
    private static double settings(double deadline) throws Exception {
        Map<String, Object> settings = ServerHarness.section(ServerHarness.example(), "settings");
        settings.put("request_classes", List.of(Map.of("name", "c", "aim", 50.0, "deadline", deadline)));
        return ShutdownSchedule.longestDeadline(SettingsConfig.read(settings).classes());
    }

    @Test void answersEndBeforeTheKillAndConnectionsBeforeThem() throws Exception {
        ShutdownSchedule schedule = ShutdownSchedule.platform(settings(1_000));

        assertEquals(1_700 - 350, schedule.answerWithin());
        assertEquals(1_700 - 500, schedule.acceptFor());
    }

    @Test void aLongDeadlineCountsAsThreeSeconds() throws Exception {
        ShutdownSchedule schedule = ShutdownSchedule.platform(settings(60_000));

        assertEquals(3_700 - 350, schedule.answerWithin());
        assertEquals(3_700 - 500, schedule.acceptFor());
    }

    @Test void newConnectionsAreAcceptedForAMinimumTimeUnlessTheSocketIsShared() throws Exception {
        ShutdownSchedule schedule = ShutdownSchedule.platform(settings(100));

        assertEquals(450, schedule.acceptFor());
        assertEquals(0, schedule.acceptingNothing().acceptFor());
        assertEquals(schedule.answerWithin(), schedule.acceptingNothing().answerWithin());
    }

    @Test void theGatewayHasNoKillDeadline() {
        assertEquals(Double.POSITIVE_INFINITY, ShutdownSchedule.gateway(5_000).answerWithin());
    }
}
