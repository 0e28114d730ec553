// Test runner: sets a fixed RapidCheck seed and skips the tests listed in KNOWN-RED.txt.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

namespace {

// Each KNOWN-RED.txt entry starts with "BINARY Group.Name"; indented lines are its description.
std::vector<std::string> KnownRedTests(const std::string& binary) {
  std::vector<std::string> names;
  const char* path = std::getenv("FW_KNOWN_RED");
  if (path == nullptr) return names;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(binary + " ", 0) != 0) continue;
    const std::string rest = line.substr(binary.size() + 1);
    names.push_back(rest.substr(0, rest.find(' ')));
  }
  return names;
}

// Returns whether the test exists and no other group has a test with this name: CppUTest excludes
// tests by name without the group.
bool IsUniqueTest(const std::string& group, const std::string& name) {
  int matches = 0;
  bool found = false;
  for (UtestShell* test = TestRegistry::getCurrentRegistry()->getFirstTest(); test != nullptr;
       test = test->getNext()) {
    if (name != test->getName().asCharString()) continue;
    ++matches;
    found = found || group == test->getGroup().asCharString();
  }
  return found && matches == 1;
}

// Whether the command line selects tests by name, which known failures may be among.
bool HasNameFilter(const std::vector<const char*>& args) {
  return std::any_of(args.begin() + 1, args.end(), [](const std::string argument) {
    return argument.starts_with("-n") || argument.starts_with("-sn");
  });
}

// Returns the names of all tests but these.
std::set<std::string> OtherNames(const std::vector<std::string>& excluded) {
  std::set<std::string> names;
  for (UtestShell* test = TestRegistry::getCurrentRegistry()->getFirstTest(); test != nullptr;
       test = test->getNext()) {
    names.insert(test->getName().asCharString());
  }
  for (const std::string& name : excluded) names.erase(name);
  return names;
}

}  // namespace

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // A fixed seed makes the results reproducible.
  setenv("RC_PARAMS", "seed=20261204 max_success=200", /*overwrite=*/0);

  std::vector<const char*> args(argv, argv + argc);
  const std::string program = argv[0];
  const std::string directory = program.substr(0, program.rfind('/') + 1);
  setenv("FW_BINARY", (directory + "fuchsiaweir").c_str(), /*overwrite=*/0);
  setenv("FW_STANDIN", (directory + "fuchsiaweir_standin").c_str(), /*overwrite=*/0);
  std::vector<std::string> excluded;
  for (const std::string& test : KnownRedTests(program.substr(program.rfind('/') + 1))) {
    const size_t dot = test.find('.');
    const std::string name = dot == std::string::npos ? "" : test.substr(dot + 1);
    if (!IsUniqueTest(test.substr(0, dot), name)) {
      std::cerr << "KNOWN-RED.txt lists a test that does not exist or whose name is not unique: "
                << test << "\n";
      return 1;
    }
    std::cout << "passing over known failure " << test << "\n";
    excluded.push_back(name);
  }
  // CppUTest runs a test that any filter lets pass, so that two filters that exclude a name would
  // exclude nothing. The names of all other tests are given instead.
  std::set<std::string> names;
  if (!excluded.empty() && !HasNameFilter(args)) names = OtherNames(excluded);
  for (const std::string& name : names) {
    args.push_back("-sn");
    args.push_back(name.c_str());
  }
  return CommandLineTestRunner::RunAllTests(static_cast<int>(args.size()), args.data());
}
