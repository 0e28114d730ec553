// A runner begins an answer whose announced length no memory can hold. The gateway ends, and with
// it the requests that other runners work on.

#include <thread>

#include "deployment.h"
#include "standins.h"

namespace {

using namespace review;

constexpr int kClients = 8;
constexpr int64_t kWorkMs = 1500;
constexpr int64_t kDeadlineMs = 6000;
/// LOST allows three.
constexpr int kAllowedLost = 3;

/// The first bytes of an answer that announces a length; the connection ends before the rest.
bool TruncatedAnswer(Connection& connection, const Headers& headers, const char* length) {
  std::string text = "HTTP/1.1 200 OK\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += std::string("Content-Length: ") + length + "\r\n\r\nthe first bytes";
  connection.Send(text);
  SleepMs(20);
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  const char* length = argc > 2 ? argv[2] : "900000000000000";
  Arrivals arrivals;
  ObjectStore store("127.0.0.1");
  Runner sound_1({"desk-1", "desk", "yanagawa", "127.0.0.1", 64, kWorkMs, {}}, arrivals);
  Runner sound_2({"desk-2", "desk", "yanagawa", "127.0.0.1", 64, kWorkMs, {}}, arrivals);
  RunnerOptions faulty_options{"notes-1", "notes", "yanagawa", "127.0.0.1", 64, 0, {}};
  if (Trouble()) {
    faulty_options.run = [length](Connection& connection, const Message&, const Headers& headers) {
      return TruncatedAnswer(connection, headers, length);
    };
  }
  Runner faulty(faulty_options, arrivals);
  store.Put(
      "config", "main",
      MakeDesiredState(
          7, {MakeRoute("/desk/", "unsafe", "desk", 1), MakeRoute("/notes/", "safe", "notes", 2)},
          {"desk", "notes"}, {MakeTenant("alpha", {"key-1"})}));
  for (Runner* runner : {&sound_1, &sound_2, &faulty}) {
    store.Put("servers", runner->options().id, runner->Entry());
  }
  Deployment deployment(store.address(), {{"yanagawa", "kyushu"}});
  const std::string gateway = deployment.StartGateway("yanagawa");
  if (!deployment.WaitReady(gateway, 10'000)) {
    record.Line("the gateway did not become ready: " + deployment.Log(gateway));
    return kNotRun;
  }
  record.Line("gateway ready");

  std::atomic<int> served = 0;
  std::atomic<int> lost = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i]() {
      Client client(deployment.callers(gateway));
      const std::string name = "desk-request-" + std::to_string(i);
      // The first request makes the connection a kept one.
      const Answer first = client.Send("POST", "/desk/a", name + "a", "key-1", "book", kDeadlineMs);
      record.Line(name + "a answered " + std::to_string(first.status));
      const Answer second =
          client.Send("POST", "/desk/b", name + "b", "key-1", "book", kDeadlineMs);
      record.Line(name + "b answered " + std::to_string(second.status) + " " + second.problem);
      if (second.complete && second.status == 200) ++served;
      if (!second.complete && arrivals.Runs(name + "b") > 0) ++lost;
    });
  }
  SleepMs(kWorkMs + kWorkMs / 3);
  Client reader(deployment.callers(gateway));
  record.Line("a request to the service of the faulty runner");
  const Answer note = reader.Send("GET", "/notes/1", "note-1", "key-1", "", kDeadlineMs);
  record.Line("note-1 answered " + std::to_string(note.status) + " " + note.problem);
  for (std::thread& client : clients) client.join();
  const std::string ended = deployment.Ended(gateway);
  record.Line("gateway: " + (ended.empty() ? "runs" : ended));
  record.Line("sound runners ran and answered: " + std::to_string(served) +
              "; passed on and closed without an answer: " + std::to_string(lost));
  const std::string log = deployment.Log(gateway);
  const size_t failed = log.find("daemon_failed");
  if (failed != std::string::npos) {
    const size_t begin = log.rfind('\n', failed) + 1;
    record.Line("log: " + log.substr(begin, log.find('\n', failed) - begin));
  }
  if (lost > kAllowedLost) return kBroken;
  return served == kClients ? kHeld : kNotRun;
}
