#ifndef FUCHSIAWEIR_NET_RECEIVED_BODY_H_
#define FUCHSIAWEIR_NET_RECEIVED_BODY_H_

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace fuchsiaweir {

/// Body type of messages that are received. It allocates memory for bytes that have arrived, never
/// for the length that the sender announces: a faulty peer may announce any length.
struct ReceivedBody {
  using value_type = std::string;

  static uint64_t size(const value_type& body) { return body.size(); }

  class Reader {
   public:
    template <bool is_request, typename Fields>
    Reader(boost::beast::http::header<is_request, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<uint64_t>& announced, boost::system::error_code& failure) {
      if (announced) max_bytes_ = *announced;
      failure = {};
    }

    template <typename Buffers>
    size_t put(const Buffers& buffers, boost::system::error_code& failure) {
      failure = {};
      size_t count = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        Grow(body_.size() + buffer.size());
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        count += buffer.size();
      }
      return count;
    }

    void finish(boost::system::error_code& failure) { failure = {}; }

   private:
    /// Doubles the capacity as often as needed, but not beyond the announced length.
    void Grow(size_t bytes) {
      if (bytes <= body_.capacity()) return;
      const auto doubled = static_cast<uint64_t>(body_.capacity()) * 2;
      body_.reserve(std::max<size_t>(bytes, std::min(doubled, max_bytes_)));
    }

    value_type& body_;
    uint64_t max_bytes_ = std::numeric_limits<uint64_t>::max();
  };
  using reader = Reader;  ///< The name that Beast looks for.
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_RECEIVED_BODY_H_
