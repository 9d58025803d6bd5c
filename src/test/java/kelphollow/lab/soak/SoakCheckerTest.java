package kelphollow.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import kelphollow.lab.soak.SoakHistory.AttemptArrived;
import kelphollow.lab.soak.SoakHistory.DiscoveryMoved;
import kelphollow.lab.soak.SoakHistory.FaultLogged;
import kelphollow.lab.soak.SoakHistory.Incarnation;
import kelphollow.lab.soak.SoakHistory.ListChanged;
import kelphollow.lab.soak.SoakHistory.ListWritten;
import kelphollow.lab.soak.SoakHistory.Outage;
import kelphollow.lab.soak.SoakHistory.Outcome;
import kelphollow.lab.soak.SoakHistory.RequestEnded;
import kelphollow.lab.soak.SoakHistory.RequestSent;
import kelphollow.lab.soak.SoakHistory.Upgrade;
import org.junit.jupiter.api.Test;

/** Checks that each breach added to a history is reported, and that the history without it has none. */
class SoakCheckerTest {
    private static final double NEVER = Double.POSITIVE_INFINITY;
    private final SoakHistory history = new SoakHistory();

    SoakCheckerTest() {
        history.add(new Incarnation(0, 0, 90_000, 92_000, false, 0));
        history.add(new ListChanged(0, 1, "a", true));
        history.add(new ListChanged(10_000, 2, "a", false));
    }

    /** Adds a read that instance 0 gets, that reaches node a at that time, and that is served. */
    private void addServedRead(String id, double at) {
        history.add(new RequestSent(at - 5, id, 0, false, 1_200));
        history.add(new AttemptArrived(at, "a", id, 1_190, true));
        history.add(new RequestEnded(at + 20, id, Outcome.SERVED));
    }

    private List<String> brokenRules() {
        return SoakChecker.check(history, 0).stream().map(SoakChecker.Breach::rule).toList();
    }

    @Test void drainCountsFromItsWriteAndAtTheLatestAfterSixSeconds() {
        addServedRead("early", 16_299);
        assertEquals(List.of(), brokenRules(), "within the grace after the notification time of 6 s");
        addServedRead("late", 16_300);
        assertEquals(List.of("drain"), brokenRules());
        history.add(new ListWritten(12_000, 0, 2));
        addServedRead("written", 12_300);
        assertEquals(List.of("drain", "drain", "drain"), brokenRules(),
            "written at 12 s, the version counts from then for all requests");
    }

    @Test void nodeThatReturnsInAWrittenListMayBeUsed() {
        history.add(new ListChanged(11_000, 3, "a", true));
        addServedRead("unheard", 16_900);
        assertEquals(List.of("drain"), brokenRules(), "neither version was written to the process");
        history.add(new ListWritten(16_800, 0, 3));
        assertEquals(List.of(), brokenRules());
    }

    @Test void listWrittenToAnEarlierProcessDoesNotCountForTheNext() {
        history.add(new ListWritten(10_100, 0, 2));
        history.add(new Incarnation(0, 11_000, 90_000, 92_000, false, 0));
        addServedRead("new", 12_000);
        assertEquals(List.of(), brokenRules(), "not written to it, and not yet 6 s old");
        addServedRead("newer", 16_400);
        assertEquals(List.of("drain"), brokenRules());
    }

    @Test void outageExtendsTheNotificationTimeAndMoveShortensIt() {
        history.add(new Outage(12_000, 20_000));
        addServedRead("back", 26_200);
        assertEquals(List.of(), brokenRules());
        addServedRead("late", 26_400);
        assertEquals(List.of("drain"), brokenRules());
        history.add(new DiscoveryMoved(20_500, 0));
        addServedRead("moved", 24_900);
        assertEquals(List.of("drain", "drain", "drain"), brokenRules(), "4 s after the move, for the first one too");
    }

    @Test void pushedListCountsAtOnce() {
        history.setPushed(true);
        addServedRead("grace", 10_250);
        assertEquals(List.of(), brokenRules());
        addServedRead("late", 10_400);
        assertEquals(List.of("drain"), brokenRules());
    }

    @Test void valueThatHasBegunMayOnlyBeEndedByItsNode() {
        history.add(new RequestSent(1_000, "v", 0, false, 1_200));
        history.add(new RequestEnded(1_100, "v", Outcome.TRUNCATED));
        assertEquals(List.of("lost"), brokenRules());

        history.add(new SoakHistory.ValueCut(1_500, "a", "v", true));

        assertEquals(List.of(), brokenRules());
    }

    @Test void requestMustBeAnsweredInTimeUnlessItsProcessWasKilled() {
        addServedRead("fine", 5_000);
        history.add(new RequestSent(50_000, "none", 0, false, 1_200));
        history.add(new RequestEnded(53_200, "none", Outcome.NO_ANSWER));
        assertEquals(List.of("lost"), brokenRules());
        history.add(new RequestSent(60_000, "cut", 0, false, 1_200));
        history.add(new RequestEnded(60_100, "cut", Outcome.CONNECTION_ENDED));
        assertEquals(List.of("lost"), brokenRules(), "it never reached a node: its client sends it elsewhere");
        history.add(new ListChanged(55_000, 3, "a", true));
        history.add(new ListWritten(55_100, 0, 3));
        history.add(new AttemptArrived(60_050, "a", "cut", 1_100, true));
        assertEquals(List.of("lost", "lost"), brokenRules());
        history.add(new Incarnation(0, 40_000, NEVER, 60_090, true, 137));
        assertEquals(List.of("lost"), brokenRules(), "the kill excuses the second request");
    }

    @Test void requestSentLaterThanThePlatformAllowsAfterSigtermMustBeAnsweredBeforeTheKill() {
        history.add(new Incarnation(3, 0, 50_000, 53_700, true, 137));
        history.add(new RequestSent(50_600, "early", 3, false, 3_000));
        history.add(new RequestEnded(53_710, "early", Outcome.NO_ANSWER));
        assertEquals(List.of(), brokenRules());
        history.add(new RequestSent(50_800, "late", 3, false, 2_500));
        history.add(new RequestEnded(53_710, "late", Outcome.NO_ANSWER));
        assertEquals(List.of("lost"), brokenRules());
    }

    @Test void listWrittenDuringAnUpgradeBindsBothProcessesTwoSecondsAfterTheNewOneIsReady() {
        history.add(new Incarnation(0, 10_500, NEVER, NEVER, false, 0));
        history.add(new Upgrade(0, 10_500, 11_700));
        history.add(new ListWritten(11_000, 0, 2));
        addServedRead("grace", 13_999);
        assertEquals(List.of(), brokenRules());
        addServedRead("bound", 14_000);
        assertEquals(List.of("drain"), brokenRules());
    }

    @Test void limitOfAVolumeIsOneStoreForAllInstances() {
        addLimited("first", 1, 5_000, 30);
        addLimited("second", 2, 5_050, 15);
        assertEquals(List.of(), brokenRules(), "36 units at once, 6 of tolerance, and 20 a second for 0.15 s");
        addLimited("third", 1, 5_060, 2);
        assertEquals(List.of("limit"), brokenRules());
    }

    private void addLimited(String id, int instance, double at, double units) {
        history.add(new RequestSent(at - 5, id, instance, false, 1_200, "limited", units));
        history.add(new AttemptArrived(at, "b", id, 1_190, true));
        history.add(new AttemptArrived(at + 1, "b", id, 1_189, true));
        history.add(new RequestEnded(at + 20, id, Outcome.SERVED));
    }

    @Test void requestThatMustRunOnceMayNeitherRunTwiceNorBeRejectedAfterRunning() {
        history.add(new RequestSent(1_000, "w", 0, true, 3_000));
        history.add(new AttemptArrived(1_010, "a", "w", 2_900, false));
        history.add(new AttemptArrived(1_100, "a", "w", 2_900, true));
        history.add(new RequestEnded(1_200, "w", Outcome.SERVED));
        assertEquals(List.of(), brokenRules(), "the first attempt was rejected");
        history.add(new AttemptArrived(1_150, "a", "w", 2_800, true));
        assertEquals(List.of("duplicate"), brokenRules());
        history.add(new RequestSent(2_000, "r", 0, true, 3_000));
        history.add(new AttemptArrived(2_010, "a", "r", 2_900, true));
        history.add(new RequestEnded(2_100, "r", Outcome.REJECTED));
        assertEquals(List.of("duplicate", "duplicate"), brokenRules());
    }

    @Test void attemptsAfterTheClientLeftOrBeyondItsDeadlineAreReported() {
        history.add(new RequestSent(1_000, "g", 0, false, 1_200));
        history.add(new RequestEnded(1_100, "g", Outcome.CLIENT_LEFT));
        history.add(new AttemptArrived(1_190, "a", "g", 1_000, true));
        assertEquals(List.of(), brokenRules());
        history.add(new AttemptArrived(1_201, "a", "g", 990, true));
        assertEquals(List.of("lost"), brokenRules());
        history.add(new RequestSent(3_000, "d", 0, false, 1_200));
        history.add(new AttemptArrived(3_500, "a", "d", 851, true));
        history.add(new RequestEnded(3_600, "d", Outcome.SERVED));
        assertEquals(List.of("lost", "deadline"), brokenRules());
    }

    @Test void unexpectedExitsAndLoggedFaultsAreReported() {
        history.add(new Incarnation(1, 0, 5_000, 6_000, false, 1));
        history.add(new Incarnation(2, 0, NEVER, 6_000, false, 0));
        history.add(new FaultLogged("n1.log: SEVERE: invariant broken"));
        assertEquals(List.of("crash", "crash", "fault"), brokenRules());
    }
}
