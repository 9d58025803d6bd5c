package kelphollow.routing;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.methods;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaConstructorCall;
import com.tngtech.archunit.core.domain.JavaMethod;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.util.Set;
import kelphollow.transport.PooledConnection;
import org.junit.jupiter.api.Test;

/**
 * Every write to a node is checked by {@link SendEligibility}: only one class calls it, for first attempts and retries
 * alike, and a class that writes to a node's connection asks that class first. Guards against a write path that bypasses
 * the check.
 */
class SendPathTest {
    private static final JavaClasses PRODUCT = new ClassFileImporter()
        .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("kelphollow");

    @Test void onlyTheAttemptLifecycleChecksEligibility() {
        methods().that().areDeclaredIn(SendEligibility.class).and().areNotPrivate()
            .should().onlyBeCalled().byClassesThat().belongToAnyOf(AttemptLifecycle.class)
            .check(PRODUCT);
    }

    @Test void onlyTheAttemptLifecycleStartsAttempts() {
        noClasses().that().doNotBelongToAnyOf(AttemptLifecycle.class)
            .should().callMethod(Backend.class, "start", Attempt.class)
            .orShould().callConstructorWhere(constructsAttempt())
            .check(PRODUCT);
    }

    @Test void anExchangeHandlerAsksFirstWhetherItMaySend() {
        classes().that().areAssignableTo(PooledConnection.ExchangeHandler.class).and().areNotInterfaces()
            .should(askFirstWhenConnected())
            .check(PRODUCT);
    }

    @Test void onlyAnExchangeHandlerWritesToAConnection() {
        noClasses().that().areNotAssignableTo(PooledConnection.ExchangeHandler.class)
            .and().resideOutsideOfPackage("kelphollow.transport")
            .should().callMethod(PooledConnection.class, "channel")
            .check(PRODUCT);
    }

    private static DescribedPredicate<JavaConstructorCall> constructsAttempt() {
        return DescribedPredicate.describe("constructs an attempt",
            call -> call.getTargetOwner().isEquivalentTo(Attempt.class));
    }

    private static ArchCondition<JavaClass> askFirstWhenConnected() {
        return new ArchCondition<>("ask Attempt.maySend before any other call in connected()") {
            @Override public void check(JavaClass handler, ConditionEvents events) {
                JavaMethod connected = handler.getMethod("connected", PooledConnection.class);
                Set<JavaMethodCall> calls = connected.getMethodCallsFromSelf();
                int asked = calls.stream().filter(SendPathTest::asksMaySend).mapToInt(JavaMethodCall::getLineNumber).min()
                    .orElse(Integer.MAX_VALUE);
                boolean first = asked < Integer.MAX_VALUE
                    && calls.stream().allMatch(call -> call.getLineNumber() >= asked);
                events.add(new SimpleConditionEvent(connected, first, connected.getFullName()
                    + (first ? " asks first" : " does not ask Attempt.maySend before any other call")));
            }
        };
    }

    private static boolean asksMaySend(JavaMethodCall call) {
        return call.getTargetOwner().isEquivalentTo(Attempt.class) && call.getName().equals("maySend");
    }
}
