#include "siskinspread/ProcessSignals.h"

#include <csignal>
#include <initializer_list>

namespace siskinspread {

namespace {

    void changeMask(int how)
    {
        sigset_t signals;
        sigemptyset(&signals);
        for (const int signal : { SIGHUP, SIGTERM, SIGINT }) {
            sigaddset(&signals, signal);
        }
        pthread_sigmask(how, &signals, nullptr); // fails only for an unknown `how`
    }

} // namespace

void blockProcessSignals()
{
    changeMask(SIG_BLOCK);
}

void unblockProcessSignals()
{
    changeMask(SIG_UNBLOCK);
}

} // namespace siskinspread
