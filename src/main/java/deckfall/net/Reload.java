package deckfall.net;

import sun.misc.Signal;

/**
 * SIGHUP: the file of the configuration was replaced. It is read on the signal's own thread, so that no request
 * waits for it, and a file that can't be used changes nothing.
 */
final class Reload {
    private final String file;
    private Node node;
    private boolean due; // SIGHUP came before there was a node to tell

    private Reload(String file) {
        this.file = file;
    }

    /** Takes the signal from now on. Java has no other way to it than this class, which all its releases keep. */
    @SuppressWarnings("sunapi")
    static Reload onHangup(String file) {
        Reload reload = new Reload(file);
        Signal.handle(new Signal("HUP"), signal -> reload.again());
        return reload;
    }

    synchronized void follow(Node started) {
        node = started;
        if (due) {
            again();
        }
    }

    private synchronized void again() {
        due = node == null;
        if (due) {
            return;
        }
        try {
            node.reload(NodeConfig.read(file));
        } catch (NodeConfig.BadConfig e) {
            Node.log("deckfall: the settings stay as they were: " + e.getMessage());
        }
    }
}
