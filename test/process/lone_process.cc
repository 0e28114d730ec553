#include "process/lone_process.h"

#include <CppUTest/TestHarness.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace fuchsiaweir::testing {
namespace {

Deployment::Options OnlyProcesses() {
  Deployment::Options options;
  options.agents = 0;
  options.entries = 0;
  return options;
}

}  // namespace

HeldPort::HeldPort(int port, int type) : socket_(socket(AF_INET, type | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  LONGS_EQUAL(0, bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  if (type == SOCK_STREAM) LONGS_EQUAL(0, listen(socket_, 1));
}

void HeldPort::Release() {
  if (socket_ >= 0) close(socket_);
  socket_ = -1;
}

LoneProcess::LoneProcess(const std::string& role)
    : processes_(OnlyProcesses()),
      callers_port_(FreePort()),
      readiness_port_(FreePort()),
      peer_port_(FreePort()),
      metrics_port_(FreePort()),
      file_(processes_.directory() + "/gateway0.ini"),
      command_({std::getenv("FW_BINARY"), role, "--settings=" + file_}) {
  settings_ = "[process]\nname = gateway0\naddress = 127.0.0.1\ndata_centre = east\n";
  if (role == "gateway") {
    absl::StrAppend(&settings_, "callers = 127.0.0.1:", callers_port_,
                    "\nreadiness = 127.0.0.1:", readiness_port_, "\n");
  } else {
    absl::StrAppend(&settings_, "runner = 127.0.0.1:", FreePort(), "\n");
  }
  absl::StrAppend(&settings_, "peer_port = ", peer_port_, "\nmetrics_port = ", metrics_port_,
                  "\n[platform]\nstore = 127.0.0.1:", FreePort(), "\n");
  Write(settings_);
}

void LoneProcess::Write(const std::string& text) const { std::ofstream(file_) << text; }

void LoneProcess::Append(const std::string& text) const {
  std::ofstream(file_, std::ios::app) << text;
}

void LoneProcess::StartRedirected(const std::string& redirection) {
  std::vector<std::string> command{"/bin/sh", "-c", "exec \"$0\" \"$@\" " + redirection};
  command.insert(command.end(), command_.begin(), command_.end());
  processes_.StartProcess(kName, command);
}

std::string LoneProcess::Log() const {
  return ReadText(absl::StrCat(directory(), "/", kName, ".log"));
}

bool LoneProcess::Logs(const std::string& text) const {
  return Eventually([&]() { return absl::StrContains(Log(), text); });
}

std::string ReadText(const std::string& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace fuchsiaweir::testing
