#include "net/response_header.h"

#include "core/http_status.h"

namespace fuchsiaweir {
namespace {

namespace http = boost::beast::http;

/// A faulty sender may send a header without end.
constexpr uint32_t kMaxHeaderBytes = 65'536;

}  // namespace

Awaitable<HttpTransport::ErrorCode> ReadResponseHeader(HttpTransport& transport,
                                                       ResponseParser& parser) {
  parser.header_limit(kMaxHeaderBytes);
  const auto failure = co_await transport.ReadHeader(parser);
  if (failure) co_return failure;
  // Beast accepts any three digits.
  if (!IsHttpStatus(parser.get().result_int())) co_return http::error::bad_status;
  co_return failure;
}

}  // namespace fuchsiaweir
