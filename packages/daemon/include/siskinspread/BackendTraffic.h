#pragma once

#include "siskinspread/TransferRouter.h"

#include <functional>
#include <string>

namespace siskinspread {

/**
 * Passes transfers to backend servers on and tells which servers answered and which did not, so that the parts that serve requests need
 * not know who follows the servers. Thread safety: decide thread only.
 */
class BackendTraffic final : public TransferStarter {
public:
    explicit BackendTraffic(TransferStarter& next)
        : m_next(next)
    {
    }

    TransferId start(StartTransfer&&, TransferHandler) override;
    void cancel(TransferId id) override { m_next.cancel(id); }

    /** Called with "ADDRESS:PORT" and the headers of each answer, before the transfer's own handler. */
    std::function<void(const std::string& address, const HttpHeaders&)> onAnswer;

    /** Called with "ADDRESS:PORT" of each transfer that ends without any byte of an answer, before its own handler. */
    std::function<void(const std::string& address)> onNoAnswer;

private:
    struct Watched;

    void tell(Watched&, const ClientEvent&) const;
    void answered(Watched&, const HttpHeaders&) const;

    TransferStarter& m_next;
};

} // namespace siskinspread
