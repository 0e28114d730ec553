#ifndef FUCHSIAWEIR_REVIEW_COMMON_NET_H_
#define FUCHSIAWEIR_REVIEW_COMMON_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Blocking HTTP/1.1 over loopback TCP, for the clients and stand-ins of the review cases.
namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Milliseconds since the driver started.
int64_t NowMs();
void SleepMs(int64_t ms);

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this name (case-insensitive), or "".
std::string Field(const Headers& headers, const std::string& name);

struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// A connected TCP socket with the bytes that were received and not consumed yet.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& data);
  /// Appends received bytes to the buffer. Returns false at the end, on an error or at the timeout.
  bool Receive(int64_t timeout_ms);
  /// Whether the other end has closed or reset the connection.
  bool PeerClosed() const;
  /// Unblocks the operations of another thread.
  void Shutdown();

  std::string buffer;
  bool timed_out = false;  ///< The last failed `Receive` ended at its timeout.
  bool reset = false;      ///< The last failed `Receive` ended with an error.

 private:
  int fd_;
};

/// Connects to a loopback address. Returns null if the connection is refused.
std::unique_ptr<Connection> Connect(const Address& to);

struct Message {
  std::string start;  ///< Request line or status line.
  Headers headers;
  std::string body;
  bool complete = false;

  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const;
  int status() const;
};

/// Reads a request, or a response to a request other than HEAD. `complete` is false if the
/// connection ended or the time ran out before.
Message ReadMessage(Connection& connection, int64_t timeout_ms);

std::string EncodeRequest(const std::string& method, const std::string& target,
                          const Headers& headers, const std::string& body);
std::string EncodeResponse(int status, const Headers& headers, const std::string& body);

/// Accepts connections on a free port and serves each in a thread.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  Server(const std::string& ip, Handler handler);
  ~Server();
  const Address& address() const { return address_; }

 private:
  void Accept();

  Address address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::thread> threads_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace review

#endif  // FUCHSIAWEIR_REVIEW_COMMON_NET_H_
