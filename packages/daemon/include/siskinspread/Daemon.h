#pragma once

#include "siskinspread/LastReason.h"

#include "settings.pb.h"

#include <memory>

namespace siskinspread {

/**
 * The daemon of an entry host: its threads, the rings between them, and the decide loop.
 *
 * Thread safety: run is called once, by one thread, which becomes the decide thread; requestStop may be called from any
 * thread and from a signal handler.
 */
class Daemon {
public:
    explicit Daemon(schema::Settings settings);
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;
    ~Daemon();

    /**
     * Serves until a stop is requested and all requests in progress have ended or the grace time is over.
     * @return false with the reason when it could not start.
     */
    bool run(LastReason& reason);

    /** Begins a planned stop. Idempotent; async-signal-safe. */
    void requestStop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace siskinspread
