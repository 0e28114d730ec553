#include <CppUTest/TestHarness.h>

#include <fstream>
#include <string>

#include "process/deployment.h"

namespace fuchsiaweir::testing {

TEST_GROUP(OperatorUsage){};

// Guards against a command without help, and against exit codes that scripts cannot tell apart.
TEST(OperatorUsage, HasHelpAndDistinctExitCodes) {
  Deployment deployment;
  for (const char* command :
       {"entry", "agent", "check", "apply", "show", "status", "drain", "restore", "tighten",
        "trace", "audit", "gateway", "sidecar", "version"}) {
    std::string output;
    LONGS_EQUAL(0, deployment.RunOperatorCommand({command, "--help"}, &output));
    STRCMP_CONTAINS(command, output.c_str());
    if (std::string(command) != "version") STRCMP_CONTAINS("exit codes", output.c_str());
  }
  LONGS_EQUAL(0, deployment.RunOperatorCommand({"version"}));
  LONGS_EQUAL(64, deployment.RunOperatorCommand({"unknown"}));
  LONGS_EQUAL(64, deployment.RunOperatorCommand({"status", "--unknown=1"}));
  LONGS_EQUAL(
      64, deployment.RunOperatorCommand({"status", "--timeout=soon", "--platform=127.0.0.1:1"}));
  LONGS_EQUAL(64, deployment.RunOperatorCommand({"status"}));
  LONGS_EQUAL(64, deployment.RunPlatformCommand({"drain", "rack", "r1"}));
  LONGS_EQUAL(1, deployment.RunPlatformCommand({"status"}));
}

// Guards against an invalid inventory that is put into force or reported without its line.
TEST(OperatorUsage, ReportsFindingsAndKeepsTheInventory) {
  Deployment deployment;
  deployment.Start();
  const std::string file = deployment.directory() + "/wrong.ini";
  std::ofstream(file) << "[data_centre east]\nregoin = test\n";
  for (const char* command : {"check", "apply"}) {
    std::string output;
    LONGS_EQUAL(2, deployment.RunPlatformCommand({command, file, "--who=test"}, &output));
    STRCMP_CONTAINS("wrong.ini:2: ", output.c_str());
  }
  std::string output;
  LONGS_EQUAL(2, deployment.RunPlatformCommand({"drain", "dc", "north", "--who=test"}, &output));
  STRCMP_CONTAINS("does not name \"north\"", output.c_str());
  CHECK(deployment.AllAtRevision(1));
}

}  // namespace fuchsiaweir::testing
