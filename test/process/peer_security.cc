#include <CppUTest/TestHarness.h>
#include <absl/strings/str_cat.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "core/peer_auth.h"
#include "net/tls_context.h"
#include "process/deployment.h"

namespace fuchsiaweir::testing {
namespace {

const std::string kFirstKey = "first " + std::string(64, 'a') + "\n";
const std::string kSecondKey = "second " + std::string(64, 'b') + "\n";

/// Directory with files that settings name; removed at the end.
class Files {
 public:
  Files() {
    std::string pattern = std::filesystem::temp_directory_path() / "fuchsiaweir-files-XXXXXX";
    directory_ = mkdtemp(pattern.data());
  }
  ~Files() { std::filesystem::remove_all(directory_); }

  std::string Path(const std::string& name) const { return directory_ + "/" + name; }

  /// Replaces the whole file at once.
  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(Path("new")) << text;
    std::filesystem::rename(Path("new"), Path(name));
  }

 private:
  std::string directory_;
};

int StatusOfSigned(Deployment& deployment, const std::string& key_line) {
  Findings findings;
  const PeerKey key = ParsePeerKeys(key_line, "", findings).value().front();
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const int64_t now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::string proof =
      SignPeerMessage(key, {"GET", "/internal/v1/status", "", "test"}, now_ms);
  return Send("GET", deployment.port("agent0"), "/internal/v1/status", "",
              {{"X-Fw-Host", "test"}, {"X-Fw-Auth", proof}})
      .status;
}

}  // namespace

TEST_GROUP(PeerSecurity){};

// Guards against internal messages of strangers, and against a rotation that refuses messages of
// processes whose file already has, or still has, the other key.
TEST(PeerSecurity, InternalMessagesNeedAProofAndKeysRotate) {
  const Files files;
  files.Write("keys", kFirstKey);
  Deployment::Options options;
  options.settings = "[peers]\nkey_file = " + files.Path("keys") + "\n";
  Deployment deployment(options);
  deployment.Start();

  LONGS_EQUAL(200, deployment.Complete(MakePrompt(10, 1), 2).status);
  LONGS_EQUAL(200, deployment.Book("signed", "signed body").status);
  for (const char* path : {"/internal/v1/calls", "/internal/v1/runs", "/internal/v1/bids",
                           "/internal/v1/tighten", "/internal/v1/config?after=0&wait_ms=1"}) {
    const Reply reply = Send("POST", deployment.port("agent0"), path, "{}");
    LONGS_EQUAL(401, reply.status);
  }
  LONGS_EQUAL(200, StatusOfSigned(deployment, kFirstKey));
  LONGS_EQUAL(401, StatusOfSigned(deployment, kSecondKey));

  const std::string settings = "--settings=" + deployment.directory() + "/entry0.ini";
  LONGS_EQUAL(
      0, deployment.RunOperatorCommand({"tighten", "host", "agent1", "--seconds=1", settings}));
  // Without the key no process takes the order.
  LONGS_EQUAL(1, deployment.RunPlatformCommand({"tighten", "host", "agent1", "--seconds=1"}));

  files.Write("keys", kFirstKey + kSecondKey);
  CHECK(Eventually([&]() { return StatusOfSigned(deployment, kSecondKey) == 200; }));
  LONGS_EQUAL(200, StatusOfSigned(deployment, kFirstKey));
  files.Write("keys", kSecondKey);
  CHECK(Eventually([&]() { return StatusOfSigned(deployment, kFirstKey) == 401; }));
  LONGS_EQUAL(200, StatusOfSigned(deployment, kSecondKey));
  CHECK(Eventually([&]() { return deployment.Complete(MakePrompt(10, 2), 2).status == 200; }));
}

// Guards against TLS settings that are ignored and against a TLS path that cannot serve.
TEST(PeerSecurity, ProcessesTalkOverTls) {
  const Files files;
  const std::string command = absl::StrCat(
      "openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=fuchsiaweir -keyout ",
      files.Path("key.pem"), " -out ", files.Path("certificate.pem"), " >/dev/null 2>&1");
  LONGS_EQUAL(0, std::system(command.c_str()));
  Settings settings;
  settings.tls_certificate_file = files.Path("certificate.pem");
  settings.tls_key_file = files.Path("key.pem");
  settings.tls_ca_file = files.Path("certificate.pem");
  Findings findings;
  Deployment::Options options;
  options.settings = absl::StrCat("[tls]\ncertificate_file = ", settings.tls_certificate_file,
                                  "\nkey_file = ", settings.tls_key_file,
                                  "\nca_file = ", settings.tls_ca_file, "\n");
  options.daemon_tls = LoadTlsContexts(settings, findings).client;
  Deployment deployment(options);
  deployment.Start();
  LONGS_EQUAL(200, deployment.Complete(MakePrompt(10, 1), 2).status);
  LONGS_EQUAL(200, deployment.Book("tls", "tls body").status);
  LONGS_EQUAL(0, Send("GET", deployment.port("agent0"), "/readyz").status);
}

}  // namespace fuchsiaweir::testing
