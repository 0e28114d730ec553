#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace review {
namespace {

const TimePoint kStart = Clock::now();
constexpr size_t kReadBytes = 65'536;

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/// Reads until `buffer` holds `text`. Returns its position, or npos.
size_t ReadUntil(Connection& connection, const std::string& text, int64_t deadline) {
  while (true) {
    const size_t at = connection.buffer.find(text);
    if (at != std::string::npos) return at;
    if (!connection.Receive(deadline - NowMs())) return std::string::npos;
  }
}

bool ReadBytes(Connection& connection, size_t count, int64_t deadline, std::string& out) {
  while (connection.buffer.size() < count) {
    if (!connection.Receive(deadline - NowMs())) break;
  }
  const size_t taken = std::min(count, connection.buffer.size());
  out += connection.buffer.substr(0, taken);
  connection.buffer.erase(0, taken);
  return taken == count;
}

bool ReadChunks(Connection& connection, int64_t deadline, std::string& body) {
  while (true) {
    const size_t end = ReadUntil(connection, "\r\n", deadline);
    if (end == std::string::npos) return false;
    const size_t size = std::strtoul(connection.buffer.c_str(), nullptr, 16);
    connection.buffer.erase(0, end + 2);
    std::string ignored;
    if (size > 0 && !ReadBytes(connection, size, deadline, body)) return false;
    if (!ReadBytes(connection, 2, deadline, ignored)) return false;
    if (size == 0) return true;
  }
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Field(const Headers& headers, const std::string& name) {
  for (const auto& [field, value] : headers) {
    if (strcasecmp(field.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

Connection::~Connection() { close(fd_); }

bool Connection::Send(const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t count = send(fd_, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::Receive(int64_t timeout_ms) {
  timed_out = false;
  reset = false;
  pollfd event{fd_, POLLIN, 0};
  if (poll(&event, 1, static_cast<int>(std::max<int64_t>(0, timeout_ms))) <= 0) {
    timed_out = true;
    return false;
  }
  std::string bytes(kReadBytes, '\0');
  const ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
  reset = count < 0;
  if (count <= 0) return false;
  buffer.append(bytes, 0, static_cast<size_t>(count));
  return true;
}

bool Connection::PeerClosed() const {
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Shutdown() { shutdown(fd_, SHUT_RDWR); }

std::unique_ptr<Connection> Connect(const Address& to) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

std::string Message::target() const {
  const size_t begin = start.find(' ') + 1;
  return start.substr(begin, start.rfind(' ') - begin);
}

int Message::status() const {
  const size_t space = start.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
}

Message ReadMessage(Connection& connection, int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  Message message;
  const size_t end = ReadUntil(connection, "\r\n\r\n", deadline);
  if (end == std::string::npos) return message;
  const std::string head = connection.buffer.substr(0, end + 2);
  connection.buffer.erase(0, end + 4);
  size_t line_begin = 0;
  while (line_begin < head.size()) {
    const size_t line_end = head.find("\r\n", line_begin);
    const std::string line = head.substr(line_begin, line_end - line_begin);
    line_begin = line_end + 2;
    const size_t colon = line.find(':');
    if (message.start.empty()) {
      message.start = line;
    } else if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }
  const std::string length = Field(message.headers, "Content-Length");
  if (!length.empty()) {
    message.complete =
        ReadBytes(connection, std::strtoul(length.c_str(), nullptr, 10), deadline, message.body);
  } else if (Field(message.headers, "Transfer-Encoding") == "chunked") {
    message.complete = ReadChunks(connection, deadline, message.body);
  } else {
    message.complete = true;
  }
  return message;
}

std::string EncodeRequest(const std::string& method, const std::string& target,
                          const Headers& headers, const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string EncodeResponse(int status, const Headers& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(const std::string& ip, Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToSockaddr({ip, 0});
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener_, SOMAXCONN) != 0) {
    std::cerr << "cannot listen on " << ip << "\n";
    std::exit(2);
  }
  socklen_t size = sizeof(address);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  address_ = {ip, ntohs(address.sin_port)};
  acceptor_ = std::thread([this]() { Accept(); });
}

Server::~Server() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const auto& connection : connections_) connection->Shutdown();
  }
  for (std::thread& thread : threads_) thread.join();
}

void Server::Accept() {
  while (!stopping_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(fd);
    const std::lock_guard lock(mutex_);
    connections_.push_back(connection);
    threads_.emplace_back([this, connection]() {
      handler_(*connection);
      connection->Shutdown();
    });
  }
}

}  // namespace review
