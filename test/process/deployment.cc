#include "process/deployment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

#include "core/digest.h"
#include "net/http_client.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

std::string RequiredEnv(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) {
    throw std::runtime_error(std::string("environment variable ") + name + " is not set");
  }
  return value;
}

pid_t Launch(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t child = fork();
  if (child != 0) return child;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // A test that crashes must not leave processes running.
  const int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(descriptor, STDOUT_FILENO);
  dup2(descriptor, STDERR_FILENO);
  // A connection of the test that the child inherits would stay open when the test closes it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(arguments[0], arguments.data());
  _exit(127);
}

constexpr const char* kDataCentres[] = {"east", "west"};

/// Length of the role in a daemon's name, "agent" or "entry"; a number follows.
constexpr size_t kRoleLength = 5;

/// Number of peers in each daemon's settings, enough to start while the platform is unavailable.
constexpr size_t kPeersPerDaemon = 2;

/// Ports that the system does not give to outgoing connections. Such a connection of another
/// process would take a port between its choice and its use.
constexpr int kMinPort = 12'000;
constexpr int kMaxPort = 32'000;

bool CanBind(int port, int type) {
  const int descriptor = socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return bound;
}

constexpr Duration kConditionPollInterval = Millis(20);

}  // namespace

int FreePort() {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> returned;
  std::uniform_int_distribution<int> ports(kMinPort, kMaxPort);
  while (true) {
    const int port = ports(random);
    const bool free = CanBind(port, SOCK_STREAM) && CanBind(port, SOCK_DGRAM);
    if (free && returned.insert(port).second) return port;
  }
}

json::object Reply::json() const {
  const json::value parsed = json::parse(body.empty() ? "{}" : body);
  return parsed.as_object();
}

Reply Send(const std::string& method, int port, const std::string& target, const std::string& body,
           const HttpHeaders& headers, Duration timeout, TlsContext tls) {
  boost::asio::io_context io(1);
  HttpClient client(io, std::move(tls));
  Reply reply;
  HttpRequest request{method, target, headers, body};
  boost::asio::co_spawn(
      io,
      [&]() -> Awaitable<void> {
        CallOptions options;
        options.timeout = timeout;
        Endpoint endpoint{"127.0.0.1", static_cast<uint16_t>(port)};
        const HttpResult result = co_await client.Call(endpoint, request, options);
        if (!result.response) co_return;
        reply.status = result.response->status;
        reply.headers = result.response->headers;
        reply.body = result.response->body;
      },
      boost::asio::detached);
  io.run();
  return reply;
}

bool Eventually(const std::function<bool()>& condition, Duration timeout) {
  const TimePoint deadline = SteadyNow() + timeout;
  while (SteadyNow() < deadline) {
    if (condition()) return true;
    std::this_thread::sleep_for(kConditionPollInterval);
  }
  return condition();
}

void SleepMillis(int64_t millis) { std::this_thread::sleep_for(Millis(millis)); }

std::string MakePrompt(int token_count, int seed) {
  std::string text;
  for (int i = 0; i < token_count; ++i) {
    absl::StrAppend(&text, i == 0 ? "" : " ", "w", seed, "x", i);
  }
  return text;
}

Deployment::Deployment(Options options) : options_(std::move(options)) {
  std::string pattern = std::filesystem::temp_directory_path() / "fuchsiaweir-test-XXXXXX";
  directory_ = mkdtemp(pattern.data());
  ReservePorts();
  WriteFiles();
}

Deployment::~Deployment() {
  for (const auto& [name, process] : processes_) kill(process, SIGKILL);
  for (const auto& [name, process] : processes_) waitpid(process, nullptr, 0);
  std::filesystem::remove_all(directory_);
}

void Deployment::ReservePorts() {
  ports_["platform"] = FreePort();
  for (int i = 0; i < options_.agents; ++i) {
    for (const char* prefix : {"agent", "engine", "service"}) {
      ports_[absl::StrCat(prefix, i)] = FreePort();
    }
  }
  for (int i = 0; i < options_.entries; ++i) ports_[absl::StrCat("entry", i)] = FreePort();
  for (int i = 0; i < options_.stores; ++i) ports_[absl::StrCat("store", i)] = FreePort();
}

std::string Deployment::PeerAddresses(const std::string& self) const {
  std::vector<std::string> addresses;
  for (const std::string& name : Daemons()) {
    if (name != self && addresses.size() < kPeersPerDaemon) {
      addresses.push_back(absl::StrCat("127.0.0.1:", port(name)));
    }
  }
  return absl::StrJoin(addresses, ", ");
}

void Deployment::WriteFiles() {
  std::string& text = inventory_;
  for (const char* name : kDataCentres) {
    absl::StrAppend(&text, "[data_centre ", name, "]\nregion = test\n");
  }
  const auto add_host = [&](const std::string& role, int i) {
    const std::string name = absl::StrCat(role, i);
    absl::StrAppend(&text, "[host ", name, "]\ndata_centre = ", kDataCentres[i % 2],
                    "\naddress = 127.0.0.1\nport = ", ports_[name], "\nrole = ", role, "\n");
    std::ofstream settings(absl::StrCat(directory_, "/", name, ".ini"));
    settings << "[process]\nhost = " << name << "\ndata_centre = " << kDataCentres[i % 2]
             << "\nlisten_port = " << ports_[name]
             << "\n[platform]\naddress = 127.0.0.1\nport = " << ports_["platform"]
             << "\n[peers]\naddresses = " << PeerAddresses(name) << "\n"
             << options_.settings;
  };
  for (int i = 0; i < options_.entries; ++i) add_host("entry", i);
  for (int i = 0; i < options_.agents; ++i) {
    add_host("agent", i);
    absl::StrAppend(
        &text, "[runner runner", i, "]\nhost = agent", i,
        "\nmodel = model\naddress = 127.0.0.1\nport = ", ports_[absl::StrCat("engine", i)], "\n");
    absl::StrAppend(&text, "[service booking", i, "]\nservice = booking\nhost = agent", i,
                    "\naddress = 127.0.0.1\nport = ", ports_[absl::StrCat("service", i)],
                    "\nnon_idempotent = /book\n");
  }
  for (int i = 0; i < options_.stores; ++i) {
    absl::StrAppend(&text, "[store store", i, "]\ndata_centre = ", kDataCentres[i % 2],
                    "\naddress = 127.0.0.1\nport = ", ports_[absl::StrCat("store", i)],
                    "\nlink_bytes_per_second = 10000000\n");
  }
  for (const char* team : {"alpha", "beta"}) {
    absl::StrAppend(&text, "[team ", team,
                    "]\nkey_digests = ", Sha256Hex(absl::StrCat("key-", team)), "\n");
  }
  absl::StrAppend(&text, "[model model]\nversion = v1\nblock_tokens = 50\n[rules]\n",
                  options_.rules.empty() ? "max_queue = 256\n" : options_.rules);
}

void Deployment::AddProcess(const std::string& name, const std::vector<std::string>& command) {
  start_order_.push_back(name);
  StartProcess(name, command);
}

void Deployment::StartProcess(const std::string& name, const std::vector<std::string>& command) {
  commands_[name] = command;
  processes_[name] = Launch(command, absl::StrCat(directory_, "/", name, ".log"));
}

void Deployment::Restart(const std::string& name) {
  if (Running(name)) Signal(name, SIGKILL);
  if (processes_.count(name) > 0) Wait(name);
  StartProcess(name, commands_.at(name));
}

void Deployment::StartEnginesAndStores() {
  const std::string standin = RequiredEnv("FW_STANDIN");
  const auto start_standin = [&](const std::string& name, const std::string& type) {
    std::vector<std::string> command = {standin, type, absl::StrCat("--port=", ports_.at(name))};
    if (type == "engine") {
      command.insert(command.end(), options_.engine_flags.begin(), options_.engine_flags.end());
      if (options_.weight_store) {
        command.push_back(absl::StrCat("--platform=127.0.0.1:", ports_["platform"]));
      }
    }
    AddProcess(name, command);
    Eventually([&]() { return Send("GET", port(name), "/stats").status == 200; });
  };
  for (int i = 0; i < options_.agents; ++i) start_standin(absl::StrCat("engine", i), "engine");
  for (int i = 0; i < options_.stores; ++i) start_standin(absl::StrCat("store", i), "store");
}

void Deployment::Start() {
  const std::string standin = RequiredEnv("FW_STANDIN");
  StartEnginesAndStores();
  const std::string binary = RequiredEnv("FW_BINARY");
  const auto port_flag = [&](const std::string& name) {
    return absl::StrCat("--port=", ports_.at(name));
  };
  AddProcess("platform", {standin, "platform", port_flag("platform")});
  for (int i = 0; i < options_.agents; ++i) {
    const std::string service = absl::StrCat("service", i);
    AddProcess(service, {standin, "service", port_flag(service)});
  }
  Eventually([this]() { return Send("GET", port("platform"), "/stats").status == 200; });
  Apply(inventory_);
  for (const std::string& name : Daemons()) {
    AddProcess(name, {binary, name.substr(0, kRoleLength),
                      absl::StrCat("--settings=", directory_, "/", name, ".ini")});
  }
  if (!Eventually([this]() { return AllReady(); })) {
    throw std::runtime_error("processes of the deployment are not ready");
  }
}

bool Deployment::AllReady() {
  for (const auto& [name, port] : ports_) {
    const bool daemon = name.rfind("agent", 0) == 0 || name.rfind("entry", 0) == 0;
    const char* path = daemon ? "/readyz" : "/stats";
    if (name.rfind("service", 0) == 0) path = "/executions";
    const TlsContext tls = daemon ? options_.daemon_tls : nullptr;
    if (Send("GET", port, path, "", {}, Seconds(30), tls).status != 200) return false;
  }
  return true;
}

void Deployment::Signal(const std::string& name, int signal) { kill(processes_.at(name), signal); }

int Deployment::Wait(const std::string& name) {
  int status = 0;
  waitpid(processes_.at(name), &status, 0);
  processes_.erase(name);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::optional<int> Deployment::TryWait(const std::string& name) {
  int status = 0;
  if (waitpid(processes_.at(name), &status, WNOHANG) == 0) return std::nullopt;
  processes_.erase(name);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool Deployment::Running(const std::string& name) {
  const auto found = processes_.find(name);
  return found != processes_.end() && kill(found->second, 0) == 0;
}

void Deployment::Apply(const std::string& inventory) {
  const std::string file = absl::StrCat(directory_, "/inventory.ini");
  std::ofstream(file) << inventory;
  std::string output;
  if (RunPlatformCommand({"apply", file, "--who=test"}, &output) != 0) {
    throw std::runtime_error("apply failed: " + output);
  }
  inventory_ = inventory;
}

int Deployment::RunPlatformCommand(std::vector<std::string> arguments, std::string* output) {
  arguments.push_back(absl::StrCat("--platform=127.0.0.1:", port("platform")));
  return RunOperatorCommand(arguments, output);
}

int Deployment::RunOperatorCommand(const std::vector<std::string>& arguments, std::string* output) {
  static std::atomic<int> number = 0;  // Tests run commands concurrently.
  std::vector<std::string> command = {RequiredEnv("FW_BINARY")};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const std::string log = absl::StrCat(directory_, "/operate", ++number, ".log");
  int status = 0;
  waitpid(Launch(command, log), &status, 0);
  if (output != nullptr) {
    std::ifstream file(log);
    output->assign(std::istreambuf_iterator<char>(file), {});
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::vector<std::string> Deployment::Daemons() const {
  std::vector<std::string> names;
  for (const auto& [name, unused] : ports_) {
    if (name.rfind("agent", 0) == 0 || name.rfind("entry", 0) == 0) names.push_back(name);
  }
  return names;
}

void Deployment::PublishHostList(const std::set<std::string>& leaving) {
  json::array hosts;
  for (const std::string& name : Daemons()) {
    const int number = std::stoi(name.substr(kRoleLength));
    hosts.push_back(json::object{{"name", name},
                                 {"data_centre", kDataCentres[number % 2]},
                                 {"state", leaving.contains(name) ? "leaving" : "live"}});
  }
  const json::object list{{"hosts", std::move(hosts)}};
  Send("PUT", port("platform"), "/hosts", json::serialize(list));
}

json::object Deployment::Status(const std::string& daemon) {
  return Send("GET", port(daemon), "/internal/v1/status", "", {}, Seconds(2)).json();
}

int64_t Deployment::Revision(const std::string& daemon) {
  const json::object status = Status(daemon);
  return status.contains("revision") ? status.at("revision").as_int64() : 0;
}

bool Deployment::AllAtRevision(int64_t revision) {
  const std::vector<std::string> daemons = Daemons();
  return std::all_of(daemons.begin(), daemons.end(),
                     [&](const std::string& name) { return Revision(name) == revision; });
}

void Deployment::InjectFault(const std::string& name, const std::string& json) {
  Send("POST", port(name), "/fault", json);
}

json::object Deployment::Stats(const std::string& name) {
  return Send("GET", port(name), "/stats").json();
}

Reply Deployment::Complete(const std::string& prompt, int max_tokens, const std::string& entry) {
  const json::object body{{"model", "model"}, {"prompt", prompt}, {"max_tokens", max_tokens}};
  return Send("POST", port(entry), "/v1/completions", json::serialize(body),
              {{"Authorization", "Bearer key-alpha"}}, Seconds(30), options_.daemon_tls);
}

Reply Deployment::Book(const std::string& key, const std::string& body, const std::string& entry) {
  return Send("POST", port(entry), "/v1/services/booking/book", body,
              {{"Authorization", "Bearer key-alpha"}, {"Idempotency-Key", key}}, Seconds(30),
              options_.daemon_tls);
}

int Deployment::Executions(const std::string& body) {
  int count = 0;
  for (int i = 0; i < options_.agents; ++i) {
    const json::object recorded =
        Send("GET", port(absl::StrCat("service", i)), "/executions").json();
    for (const json::value& item : recorded.at("executions").as_array()) {
      const std::string text(item.as_string());
      if (text.size() >= body.size() && text.substr(text.size() - body.size()) == body) ++count;
    }
  }
  return count;
}

}  // namespace fuchsiaweir::testing
