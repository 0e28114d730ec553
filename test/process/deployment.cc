#include "process/deployment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

#include "core/config_document.h"
#include "core/digest.h"
#include "net/http_client.h"

namespace fuchsiaweir::testing {
namespace {

namespace json = boost::json;

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) throw std::runtime_error(std::string(name) + " is not set");
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
  const int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(descriptor, STDOUT_FILENO);
  dup2(descriptor, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

constexpr const char* kDataCentres[] = {"east", "west"};

}  // namespace

int FreePort() {
  static std::set<int> given;
  while (true) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    close(descriptor);
    const int port = ntohs(address.sin_port);
    if (given.insert(port).second) return port;
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

bool Eventually(const std::function<bool()>& condition, Duration within) {
  const TimePoint end = SteadyNow() + within;
  while (SteadyNow() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(Millis(20));
  }
  return condition();
}

std::string Words(int count, int seed) {
  std::string text;
  for (int i = 0; i < count; ++i) absl::StrAppend(&text, i == 0 ? "" : " ", "w", seed, "x", i);
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
    for (const char* kind : {"agent", "engine", "service"}) {
      ports_[absl::StrCat(kind, i)] = FreePort();
    }
  }
  for (int i = 0; i < options_.entries; ++i) ports_[absl::StrCat("entry", i)] = FreePort();
  for (int i = 0; i < options_.stores; ++i) ports_[absl::StrCat("store", i)] = FreePort();
}

void Deployment::WriteFiles() {
  std::string& text = inventory_;
  for (const char* name : kDataCentres) {
    absl::StrAppend(&text, "[data_centre ", name, "]\nregion = test\n");
  }
  const auto host = [&](const std::string& role, int i) {
    const std::string name = absl::StrCat(role, i);
    absl::StrAppend(&text, "[host ", name, "]\ndata_centre = ", kDataCentres[i % 2],
                    "\naddress = 127.0.0.1\nport = ", ports_[name], "\nrole = ", role, "\n");
    std::ofstream settings(absl::StrCat(directory_, "/", name, ".ini"));
    settings << "[process]\nhost = " << name << "\ndata_centre = " << kDataCentres[i % 2]
             << "\nlisten_port = " << ports_[name]
             << "\n[platform]\naddress = 127.0.0.1\nport = " << ports_["platform"] << "\n"
             << options_.settings;
  };
  for (int i = 0; i < options_.entries; ++i) host("entry", i);
  for (int i = 0; i < options_.agents; ++i) {
    host("agent", i);
    absl::StrAppend(
        &text, "[runner runner", i, "]\nhost = agent", i,
        "\nmodel = model\naddress = 127.0.0.1\nport = ", ports_[absl::StrCat("engine", i)], "\n");
    absl::StrAppend(&text, "[service booking", i, "]\nservice = booking\nhost = agent", i,
                    "\naddress = 127.0.0.1\nport = ", ports_[absl::StrCat("service", i)],
                    "\nnon_idempotent = /book\n");
  }
  for (int i = 0; i < options_.stores; ++i) {
    absl::StrAppend(&text, "[store store", i, "]\ndata_centre = ", kDataCentres[i % 2],
                    "\naddress = 127.0.0.1\nport = ", ports_[absl::StrCat("store", i)], "\n");
  }
  for (const char* team : {"alpha", "beta"}) {
    absl::StrAppend(&text, "[team ", team,
                    "]\nkey_digests = ", Sha256Hex(absl::StrCat("key-", team)), "\n");
  }
  absl::StrAppend(&text, "[model model]\nversion = v1\nblock_tokens = 50\n[rules]\n",
                  options_.rules.empty() ? "max_queue = 256\n" : options_.rules);
}

void Deployment::AddProcess(const std::string& name, const std::vector<std::string>& command) {
  order_.push_back(name);
  StartProcess(name, command);
}

void Deployment::StartProcess(const std::string& name, const std::vector<std::string>& command) {
  commands_[name] = command;
  processes_[name] = Launch(command, absl::StrCat(directory_, "/", name, ".log"));
}

void Deployment::Restart(const std::string& name) {
  if (Running(name)) Signal(name, SIGKILL);
  Wait(name);
  StartProcess(name, commands_.at(name));
}

void Deployment::Start() {
  const std::string standin = Environment("FW_STANDIN");
  const std::string binary = Environment("FW_BINARY");
  const auto port_flag = [&](const std::string& name) {
    return absl::StrCat("--port=", ports_.at(name));
  };
  AddProcess("platform", {standin, "platform", port_flag("platform")});
  for (int i = 0; i < options_.agents; ++i) {
    const std::string engine = absl::StrCat("engine", i);
    std::vector<std::string> command = {standin, "engine", port_flag(engine)};
    command.insert(command.end(), options_.engine_flags.begin(), options_.engine_flags.end());
    if (options_.weight_store) {
      command.push_back(absl::StrCat("--platform=127.0.0.1:", ports_["platform"]));
    }
    AddProcess(engine, command);
    const std::string service = absl::StrCat("service", i);
    AddProcess(service, {standin, "service", port_flag(service)});
  }
  for (int i = 0; i < options_.stores; ++i) {
    const std::string store = absl::StrCat("store", i);
    AddProcess(store, {standin, "store", port_flag(store)});
  }
  Eventually([this]() { return Send("GET", port("platform"), "/stats").status == 200; });
  Apply(inventory_);
  for (const auto& [name, unused] : ports_) {
    const bool daemon = name.rfind("agent", 0) == 0 || name.rfind("entry", 0) == 0;
    if (!daemon) continue;
    AddProcess(name, {binary, name.substr(0, 5),
                      absl::StrCat("--settings=", directory_, "/", name, ".ini")});
  }
  if (!Eventually([this]() { return AllReady(); })) throw std::runtime_error("not ready");
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

bool Deployment::Running(const std::string& name) {
  const auto found = processes_.find(name);
  return found != processes_.end() && kill(found->second, 0) == 0;
}

void Deployment::Apply(const std::string& inventory) {
  const Reply current = Send("GET", port("platform"), "/objects/config%2Fcurrent");
  int64_t version = 0;
  ConfigDocument document;
  if (current.status == 200) {
    const json::object object = current.json();
    version = object.at("version").to_number<int64_t>();
    document = DecodeConfigDocument(std::string(object.at("value").as_string())).value();
  }
  const ConfigChange change{document.revision, "test", "now", "apply", "nonce", inventory};
  document = ApplyChange(document, change).value().document;
  Send("PUT", port("platform"), absl::StrCat("/objects/config%2Fcurrent?expect=", version),
       EncodeConfigDocument(document));
  inventory_ = inventory;
}

int Deployment::Operate(const std::vector<std::string>& arguments, std::string* output) {
  std::vector<std::string> command = {Environment("FW_BINARY")};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const std::string log = absl::StrCat(directory_, "/operate.log");
  std::filesystem::remove(log);
  int status = 0;
  waitpid(Launch(command, log), &status, 0);
  if (output != nullptr) {
    std::ifstream file(log);
    output->assign(std::istreambuf_iterator<char>(file), {});
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Deployment::Fault(const std::string& name, const std::string& json) {
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
