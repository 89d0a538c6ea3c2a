package figseam

// Version is the version of all programs of the project.
const Version = "0.3.0"
