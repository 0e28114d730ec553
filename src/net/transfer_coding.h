#ifndef FUCHSIAWEIR_NET_TRANSFER_CODING_H_
#define FUCHSIAWEIR_NET_TRANSFER_CODING_H_

#include <boost/beast/http/fields.hpp>

namespace fuchsiaweir {

/// Whether the message has no transfer coding, or "chunked" alone. Beast decodes no other coding,
/// and without "chunked" at the end it takes the body of a request for empty, and that of a
/// response for the rest of the connection.
bool HasKnownTransferCoding(const boost::beast::http::fields& message);

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_TRANSFER_CODING_H_
