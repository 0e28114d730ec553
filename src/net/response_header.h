#ifndef FUCHSIAWEIR_NET_RESPONSE_HEADER_H_
#define FUCHSIAWEIR_NET_RESPONSE_HEADER_H_

#include <boost/beast/http/parser.hpp>

#include "net/awaitable.h"
#include "net/http_transport.h"
#include "net/received_body.h"

namespace fuchsiaweir {

using ResponseParser = boost::beast::http::response_parser<ReceivedBody>;

/// Reads the header of a response. Fails if it is not valid HTTP, or announces a body in a transfer
/// coding that is not decoded. Whoever receives responses, from runners, peers or the store, reads
/// their headers with this function.
Awaitable<HttpTransport::ErrorCode> ReadResponseHeader(HttpTransport& transport,
                                                       ResponseParser& parser);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_RESPONSE_HEADER_H_
