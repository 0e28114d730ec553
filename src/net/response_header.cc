#include "net/response_header.h"

#include <string_view>

#include "core/http_status.h"
#include "net/transfer_coding.h"

namespace fuchsiaweir {
namespace {

namespace http = boost::beast::http;

/// A faulty sender may send a header without end.
constexpr uint32_t kMaxHeaderBytes = 65'536;

/// Whether a line begins with a blank. Beast appends such a line to the value of the field before
/// it, which is then no longer the sender's: a receipt, for example, or a length.
bool HasFoldedLine(std::string_view header) {
  return header.find("\r\n ") != std::string_view::npos ||
         header.find("\r\n\t") != std::string_view::npos;
}

}  // namespace

Awaitable<HttpTransport::ErrorCode> ReadResponseHeader(HttpTransport& transport,
                                                       ResponseParser& parser) {
  parser.header_limit(kMaxHeaderBytes);
  parser.eager(false);  // `put` stops behind the header.
  while (!parser.is_header_done()) {
    HttpTransport::ErrorCode failure = http::error::need_more;
    const std::string_view input = transport.BufferedInput();
    if (!input.empty()) {
      // A field is parsed only together with all lines that belong to it.
      const size_t parsed = parser.put({input.data(), input.size()}, failure);
      if (HasFoldedLine(input.substr(0, parsed))) co_return http::error::bad_obs_fold;
      transport.ConsumeInput(parsed);
    }
    if (failure == http::error::need_more) failure = co_await transport.ReadMore();
    // The log tells operators whether the sender had begun to answer.
    if (failure == boost::asio::error::eof) {
      failure = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    if (failure) co_return failure;
  }
  // Beast accepts any three digits.
  if (!IsHttpStatus(parser.get().result_int())) co_return http::error::bad_status;
  // The body would be passed on in a coding that the receiver does not learn of.
  if (!HasKnownTransferCoding(parser.get())) co_return http::error::bad_transfer_encoding;
  co_return HttpTransport::ErrorCode();
}

}  // namespace fuchsiaweir
