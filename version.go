package figseam

// Version is the version of the programs.
const Version = "0.3.0"
