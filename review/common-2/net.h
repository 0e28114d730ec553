#ifndef FUCHSIAWEIR_REVIEW_COMMON_2_NET_H_
#define FUCHSIAWEIR_REVIEW_COMMON_2_NET_H_

// Sockets, HTTP messages and the record of a case.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Writes lines to record.txt and to standard output, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file), start_(NowMs()) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::ostringstream line;
    line << (NowMs() - start_) << " ms  " << text;
    out_ << line.str() << std::endl;
    std::cout << line.str() << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  int64_t start_;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/// Returns an address of the loopback network that this process has not given out before.
inline std::string NextIp() {
  static std::atomic<int> next{1};
  const int number = next++;
  return "127." + std::to_string(60 + getpid() % 100) + "." + std::to_string(getpid() / 100 % 250) +
         "." + std::to_string(number);
}

/// Returns a port that is free at the address.
inline int FreePort(const std::string& ip, int type = SOCK_STREAM) {
  const int fd = socket(AF_INET, type, 0);
  sockaddr_in address = ToSockaddr({ip, 0});
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

struct Message {
  std::string start;  ///< First line.
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (Lower(key) == Lower(name)) return value;
    }
    return "";
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  std::string path() const { return target().substr(0, target().find('?')); }
  std::string Query(const std::string& name) const {
    const std::string all = target();
    size_t at = all.find('?');
    while (at != std::string::npos) {
      const size_t end = all.find('&', at + 1);
      const std::string pair =
          all.substr(at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
      if (pair.substr(0, pair.find('=')) == name && pair.find('=') != std::string::npos) {
        return pair.substr(pair.find('=') + 1);
      }
      at = end;
    }
    return "";
  }
  int status() const { return std::atoi(start.substr(start.find(' ') + 1).c_str()); }
};

class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { close(fd_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  /// Reads a message, with a body that has a length or comes in chunks. Nothing if the connection
  /// ends before the message is complete, or `until_ms` passes.
  std::optional<Message> Read(int64_t until_ms = INT64_MAX) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms)) return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (message.start.empty()) {
        message.start = line;
        continue;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
    }
    if (Lower(message.Header("Transfer-Encoding")) == "chunked") {
      return ReadChunks(std::move(message), until_ms);
    }
    const size_t length = static_cast<size_t>(std::atoll(message.Header("Content-Length").c_str()));
    while (buffer_.size() < length) {
      if (!Fill(until_ms)) return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

 private:
  std::optional<Message> ReadChunks(Message message, int64_t until_ms) {
    while (true) {
      size_t line_end = 0;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until_ms)) return std::nullopt;
      }
      const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!Fill(until_ms)) return std::nullopt;
      }
      message.body += buffer_.substr(line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) return message;
    }
  }

  bool Fill(int64_t until_ms) {
    pollfd waiting{fd_, POLLIN, 0};
    while (true) {
      const int64_t left = until_ms == INT64_MAX ? 1000 : until_ms - NowMs();
      if (left <= 0) return false;
      const int ready = poll(&waiting, 1, static_cast<int>(std::min<int64_t>(left, 1000)));
      if (ready < 0) return false;
      if (ready > 0) break;
    }
    char bytes[16384];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
};

/// Serves each connection in a thread of its own, until the process ends.
class Server {
 public:
  Server(const std::string& ip, std::function<void(Connection&)> serve)
      : address_{ip, FreePort(ip)}, serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = ToSockaddr(address_);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd_, 256) != 0) {
      std::cerr << "cannot listen on " << address_.text() << std::endl;
      std::_Exit(kExitNotRun);
    }
    std::thread([this]() {
      while (true) {
        const int client = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) continue;
        std::thread([this, client]() {
          Connection connection(client);
          serve_(connection);
        }).detach();
      }
    }).detach();
  }
  const Address& address() const { return address_; }

 private:
  Address address_;
  std::function<void(Connection&)> serve_;
  int fd_ = -1;
};

inline std::string Answer(int status, const std::string& body, const Headers& headers = {}) {
  std::ostringstream out;
  out << "HTTP/1.1 " << status << " x\r\n";
  for (const auto& [name, value] : headers) out << name << ": " << value << "\r\n";
  out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
  return out.str();
}

inline std::string JsonAnswer(int status, const json::value& body) {
  return Answer(status, json::serialize(body), {{"Content-Type", "application/json"}});
}

}  // namespace review

#endif  // FUCHSIAWEIR_REVIEW_COMMON_2_NET_H_
