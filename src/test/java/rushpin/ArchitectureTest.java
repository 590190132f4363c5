package rushpin;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Who may import whom, and that deciders do no I/O. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("rushpin");
    /** Each room and what of ours it may import; a room may always import itself. */
    private static final Map<String, List<String>> ROOMS = new LinkedHashMap<>();

    static {
        ROOMS.put("gateway", List.of());
        ROOMS.put("drill", List.of("gateway"));
        ROOMS.put("route", List.of());
        ROOMS.put("budget", List.of());
        ROOMS.put("lifecycle", List.of());
        ROOMS.put("console", List.of());
        ROOMS.put("quota", List.of("gateway"));
        ROOMS.put("membership", List.of("gateway"));
        ROOMS.put("net", List.of("gateway", "membership", "budget", "pooling"));
        ROOMS.put("traffic", List.of());
        ROOMS.put("accord", List.of());
        ROOMS.put("peer", List.of("accord", "net"));
        ROOMS.put("failover", List.of("accord"));
        ROOMS.put("pooling", List.of("accord"));
        ROOMS.put("authority", List.of("accord"));
        ROOMS.put("config", List.of("gateway", "membership", "route", "net", "traffic", "accord", "failover"));
        ROOMS.put(
                "node",
                List.of(
                        "gateway",
                        "membership",
                        "route",
                        "budget",
                        "net",
                        "config",
                        "quota",
                        "lifecycle",
                        "console",
                        "traffic",
                        "accord",
                        "peer",
                        "failover",
                        "pooling"));
        ROOMS.put("judge", List.of());
        ROOMS.put("model", List.of("gateway", "judge"));
        ROOMS.put("fit", List.of("model", "traffic"));
        ROOMS.put("study", List.of("model", "fit", "config"));
        ROOMS.put("rig", List.of("judge", "traffic", "fit", "study"));
        ROOMS.put("cli", List.of("drill", "config", "node", "rig", "traffic", "fit", "model", "study"));
    }

    @Test
    void eachRoomImportsOnlyWhatItMay() {
        assertFalse(ALL.isEmpty());
        for (Map.Entry<String, List<String>> room : ROOMS.entrySet()) {
            String[] others = ROOMS.keySet().stream()
                    .filter(other ->
                            !other.equals(room.getKey()) && !room.getValue().contains(other))
                    .map(other -> "rushpin." + other + "..")
                    .toArray(String[]::new);
            noClasses()
                    .that()
                    .resideInAPackage("rushpin." + room.getKey() + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(others)
                    .check(ALL);
        }
    }

    @Test
    void everyClassStandsInARoom() {
        noClasses()
                .should()
                .resideOutsideOfPackages(ROOMS.keySet().stream()
                        .map(room -> "rushpin." + room + "..")
                        .toArray(String[]::new))
                .check(ALL);
    }

    @Test
    void roomsFormNoCycles() {
        slices().matching("rushpin.(*)..").should().beFreeOfCycles().check(ALL);
    }

    /** What is decided is ours; how it is agreed on is the library's, behind one door. */
    @Test
    void theAgreementLibraryIsKnownInOnePlace() {
        noClasses()
                .that()
                .resideOutsideOfPackage("rushpin.accord.log..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.apache.ratis..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage("rushpin.accord", "rushpin.failover..", "rushpin.pooling..", "rushpin.authority..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("rushpin.accord.log..")
                .check(ALL);
    }

    /** The sketches' library too; what it knows of objects is told in our own values. */
    @Test
    void theSketchIsKnownInOnePlace() {
        noClasses()
                .that()
                .doNotHaveFullyQualifiedName("rushpin.authority.finding.Finder")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.apache.datasketches..")
                .check(ALL);
    }

    /** Time, events and chance come as arguments. Addresses are values: an InetSocketAddress opens nothing. */
    @Test
    void decidersDoNoIo() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "rushpin.gateway..",
                        "rushpin.route..",
                        "rushpin.budget..",
                        "rushpin.membership..",
                        "rushpin.quota..",
                        "rushpin.lifecycle..",
                        "rushpin.model..",
                        "rushpin.fit..",
                        "rushpin.accord",
                        "rushpin.failover..",
                        "rushpin.pooling..",
                        "rushpin.authority..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..", "java.nio", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.io\\.(File|.*Stream|.*Reader|.*Writer).*")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.net\\.(.*Socket|URL.*|Http.*|DatagramPacket)")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.Random")
                .check(ALL);
    }

    /** Also as a method reference, which callMethod does not see. */
    private static final DescribedPredicate<JavaAccess<?>> CURRENT_TIME = DescribedPredicate.describe(
            "System.currentTimeMillis",
            access -> access.getTargetOwner().isEquivalentTo(System.class)
                    && access.getName().equals("currentTimeMillis"));

    /** All others are told the time, or go by the clock that never jumps. java.util.Timer goes by the wall's. */
    @Test
    void oneClassReadsTheWallClock() {
        String[] times = {"java\\.time\\..*", "java\\.util\\.(Date|Calendar|GregorianCalendar|Timer)"};
        noClasses()
                .that()
                .resideOutsideOfPackages("rushpin.rig..", "rushpin.study..", "rushpin.cli..", "rushpin.model..")
                .and()
                .doNotHaveFullyQualifiedName("rushpin.node.Clock")
                .should()
                .accessTargetWhere(CURRENT_TIME)
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(String.join("|", times))
                .check(ALL);
    }

    /** A wall clock that is set changes nothing between processes. */
    @Test
    void whatIsSharedReadsNoWallClock() {
        noClasses()
                .that()
                .resideInAnyPackage("rushpin.accord..", "rushpin.peer..", "rushpin.failover..", "rushpin.authority..")
                .or()
                .haveNameMatching("rushpin\\.node\\.(Together|Voter|Planning|Gathered|Standing|Witness)(\\$.*)?")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .resideInAPackage("java.time..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.util\\.(Date|Calendar|GregorianCalendar|Timer)")
                .check(ALL);
    }
}
