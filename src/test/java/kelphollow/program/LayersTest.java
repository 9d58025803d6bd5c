package kelphollow.program;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import org.junit.jupiter.api.Test;

/** Checks that each package depends only on the layers below it. */
class LayersTest {
    @Test void eachLayerDependsOnlyOnThoseBelow() {
        JavaClasses classes = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("kelphollow");
        rules(layers()).check(classes);
    }

    private static LayeredArchitecture layers() {
        return layeredArchitecture().consideringOnlyDependenciesInLayers()
            .layer("program").definedBy("kelphollow.program..")
            .layer("protocol").definedBy("kelphollow.protocol.resp..", "kelphollow.protocol.object..",
                "kelphollow.protocol.discovery..", "kelphollow.protocol.xds..", "kelphollow.protocol.mgmt..")
            .layer("peer").definedBy("kelphollow.protocol.peer..")
            .layer("fleet").definedBy("kelphollow.fleet..")
            .layer("scale").definedBy("kelphollow.scale..")
            .layer("lab").definedBy("kelphollow.lab..")
            .layer("transport").definedBy("kelphollow.transport..")
            .layer("routing").definedBy("kelphollow.routing..")
            .layer("adapter").definedBy("kelphollow.adapter..")
            .layer("json").definedBy("kelphollow.protocol.json..")
            .layer("ledger").definedBy("kelphollow.ledger..")
            .layer("recovery").definedBy("kelphollow.recovery..")
            .layer("store").definedBy("kelphollow.store..")
            .layer("site").definedBy("kelphollow.site..")
            .layer("membership").definedBy("kelphollow.membership..")
            .layer("digest").definedBy("kelphollow.digest..")
            .layer("dissemination").definedBy("kelphollow.dissemination..")
            .layer("overload").definedBy("kelphollow.overload..")
            .layer("decision").definedBy("kelphollow.decision..")
            .layer("maintenance").definedBy("kelphollow.maintenance..")
            .layer("retune").definedBy("kelphollow.retune..");
    }

    private static LayeredArchitecture rules(LayeredArchitecture layers) {
        return layers
            .whereLayer("program").mayNotBeAccessedByAnyLayer()
            .whereLayer("protocol").mayOnlyBeAccessedByLayers("program")
            .whereLayer("transport").mayOnlyBeAccessedByLayers("program", "protocol", "scale")
            .whereLayer("routing").mayOnlyBeAccessedByLayers("program", "protocol", "transport", "ledger", "fleet", "scale")
            .whereLayer("adapter").mayOnlyBeAccessedByLayers("program")
            .whereLayer("json").mayOnlyBeAccessedByLayers("program", "protocol", "adapter", "ledger", "peer", "lab", "scale")
            .whereLayer("ledger").mayOnlyBeAccessedByLayers("program", "protocol")
            .whereLayer("recovery").mayNotAccessAnyLayer()
            .whereLayer("store").mayOnlyBeAccessedByLayers("program", "protocol", "ledger")
            .whereLayer("store").mayNotAccessAnyLayer()
            .whereLayer("site").mayNotAccessAnyLayer()
            .whereLayer("fleet").mayOnlyBeAccessedByLayers("program", "scale")
            .whereLayer("scale").mayOnlyBeAccessedByLayers("program")
            .whereLayer("scale").mayOnlyAccessLayers("fleet", "transport", "routing", "membership", "digest", "decision",
                "peer", "json", "dissemination")
            .whereLayer("lab").mayOnlyBeAccessedByLayers("program")
            .whereLayer("lab").mayOnlyAccessLayers("json")
            .whereLayer("peer").mayOnlyBeAccessedByLayers("program", "fleet", "scale")
            .whereLayer("peer").mayOnlyAccessLayers("membership", "digest", "dissemination", "json")
            .whereLayer("membership").mayNotAccessAnyLayer()
            .whereLayer("digest").mayNotAccessAnyLayer()
            .whereLayer("dissemination").mayOnlyAccessLayers("membership", "digest")
            .whereLayer("dissemination").mayOnlyBeAccessedByLayers("program", "fleet", "peer", "scale")
            .whereLayer("overload").mayNotAccessAnyLayer()
            .whereLayer("overload").mayOnlyBeAccessedByLayers("fleet")
            .whereLayer("decision").mayNotAccessAnyLayer()
            .whereLayer("maintenance").mayNotAccessAnyLayer()
            .whereLayer("retune").mayOnlyAccessLayers("decision");
    }
}
